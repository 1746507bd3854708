// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** The order in which waiting requests of different caller groups are tried. */
public interface QueueOrder {
  /**
   * Returns the place of a waiting request: smaller is tried earlier. Asked again after each
   * dispatch.
   *
   * @param request the oldest waiting request of its lane
   * @param isShort whether its prompt counts as short
   */
  double place(RequestFacts request, long weight, boolean isShort);

  /** Takes note that a request was sent to an endpoint. */
  void dispatched(RequestFacts request, long weight);

  /** Takes note that a group has requests waiting after it had none. */
  void backlogged(RequestFacts first);

  /**
   * Tells whether a request's group has used more than its share, so that it should only use what
   * others leave.
   */
  boolean overShare(RequestFacts request);
}
