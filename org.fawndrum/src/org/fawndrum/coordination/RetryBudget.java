// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** Decides whether requests may be sent again. Implementations are confined to one thread. */
public interface RetryBudget {
  /** Counts a first send. */
  void firstSend(RequestTarget target, long nowMs);

  /** Takes one retry if the budget has one. */
  boolean tryRetry(RequestTarget target, long nowMs);
}
