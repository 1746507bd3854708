// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.fawndrum.state.EndpointKind;

/**
 * Places at the engines of the own zone where the daemons are so many that they tell each other at
 * once only of those; what they know of others is up to a heartbeat old. When no engine of the own
 * zone can take a request, all are looked at.
 */
public final class OwnZonePlacement implements Placement {
  private final Placement inner;
  private final BooleanSupplier byZone;

  /**
   * Makes the placement.
   *
   * @param inner chooses among those that are looked at
   * @param byZone whether the own zone goes first
   */
  public OwnZonePlacement(Placement inner, BooleanSupplier byZone) {
    this.inner = inner;
    this.byZone = byZone;
  }

  @Override
  public Optional<Choice> choose(Query query) {
    boolean engines = query.facts().target().kind() == EndpointKind.MODEL;
    if (!engines || !byZone.getAsBoolean()) {
      return inner.choose(query);
    }
    List<EndpointState> near =
        query.candidates().stream()
            .filter(state -> state.endpoint().zone().equals(query.zone()))
            .toList();
    Optional<Choice> choice = near.isEmpty() ? Optional.empty() : inner.choose(query.among(near));
    return choice.isPresent() ? choice : inner.choose(query);
  }
}
