// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** The plain baseline: the request that arrived first. */
public final class FirstComeOrder implements QueueOrder {
  @Override
  public double place(RequestFacts request, long weight, boolean isShort) {
    return request.arrivedMs();
  }

  @Override
  public void dispatched(RequestFacts request, long weight) {}

  @Override
  public void backlogged(RequestFacts first) {}

  @Override
  public boolean overShare(RequestFacts request) {
    return false;
  }
}
