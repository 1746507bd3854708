// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.fawndrum.state.EndpointKind;

/**
 * Prefers engines of the host's own zone. In large deployments daemons send immediate updates only
 * about these; their view of other zones is up to a heartbeat old. Considers all engines when none
 * of the own zone can take the request.
 */
public final class OwnZonePlacement implements Placement {
  private final Placement delegate;
  private final BooleanSupplier preferOwnZone;

  /**
   * Creates the placement.
   *
   * @param delegate chooses among the endpoints considered
   * @param preferOwnZone whether the own zone is preferred
   */
  public OwnZonePlacement(Placement delegate, BooleanSupplier preferOwnZone) {
    this.delegate = delegate;
    this.preferOwnZone = preferOwnZone;
  }

  @Override
  public Optional<Choice> choose(Query query) {
    boolean isModel = query.facts().target().kind() == EndpointKind.MODEL;
    if (!isModel || !preferOwnZone.getAsBoolean()) {
      return delegate.choose(query);
    }
    List<EndpointState> ownZone =
        query.candidates().stream()
            .filter(state -> state.endpoint().zone().equals(query.zone()))
            .toList();
    Optional<Choice> choice =
        ownZone.isEmpty() ? Optional.empty() : delegate.choose(query.withCandidates(ownZone));
    return choice.isPresent() ? choice : delegate.choose(query);
  }
}
