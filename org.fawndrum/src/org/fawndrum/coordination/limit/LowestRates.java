// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.limit;

import java.util.ArrayList;
import java.util.List;

/** The lower one of two rates of each endpoint. Thread-safe, as both are. */
public final class LowestRates implements EndpointRates {
  private final EndpointRates one;
  private final EndpointRates other;

  /** Combines two reasons for a rate. */
  public LowestRates(EndpointRates one, EndpointRates other) {
    this.one = one;
    this.other = other;
  }

  @Override
  public double perSecond(String endpoint, long nowMs) {
    return Math.min(one.perSecond(endpoint, nowMs), other.perSecond(endpoint, nowMs));
  }

  /** {@inheritDoc} With two rates, an endpoint is limited until the later end. */
  @Override
  public long endMs(String endpoint, long nowMs) {
    boolean byOne = one.isLimited(endpoint, nowMs);
    boolean byOther = other.isLimited(endpoint, nowMs);
    return Math.max(
        byOne ? one.endMs(endpoint, nowMs) : nowMs, byOther ? other.endMs(endpoint, nowMs) : nowMs);
  }

  @Override
  public boolean isLimited(String endpoint, long nowMs) {
    return one.isLimited(endpoint, nowMs) || other.isLimited(endpoint, nowMs);
  }

  @Override
  public List<String> limited(long nowMs) {
    List<String> ofOne = one.limited(nowMs);
    List<String> ofOther = other.limited(nowMs);
    if (ofOne.isEmpty() || ofOther.isEmpty()) {
      return ofOne.isEmpty() ? ofOther : ofOne;
    }
    List<String> both = new ArrayList<>(ofOne);
    ofOther.stream().filter(endpoint -> !ofOne.contains(endpoint)).forEach(both::add);
    return both;
  }
}
