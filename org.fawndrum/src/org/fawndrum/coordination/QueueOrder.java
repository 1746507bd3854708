// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** The order in which waiting requests of different caller groups are offered to the placement. */
public interface QueueOrder {
  /**
   * Returns the sort key of a waiting request; the smallest is offered first. Recomputed after each
   * dispatch.
   *
   * @param request the oldest waiting request of its lane
   * @param isShort whether its prompt counts as short
   */
  double sortKey(RequestFacts request, long weight, boolean isShort);

  /** Records that a request was sent to an endpoint. */
  void dispatched(RequestFacts request, long weight);

  /** Records that a group has waiting requests again after it had none. */
  void backlogged(RequestFacts first);

  /**
   * Whether a request's group has used more than its share, so that it should only use capacity
   * that other groups leave idle.
   */
  boolean isOverShare(RequestFacts request);
}
