// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** First come, first served. Simple baseline. */
public final class FirstComeOrder implements QueueOrder {
  @Override
  public double sortKey(RequestFacts request, long weight, boolean isShort) {
    return request.arrivedMs();
  }

  @Override
  public void dispatched(RequestFacts request, long weight) {}

  @Override
  public void backlogged(RequestFacts first) {}

  @Override
  public boolean isOverShare(RequestFacts request) {
    return false;
  }
}
