// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** Limits how often requests are sent again. Implementations are confined to one thread. */
public interface RetryBudget {
  /** Records a first send. */
  void recordFirstSend(RequestTarget target, long nowMs);

  /** Takes one retry from the budget. Returns whether there was one. */
  boolean tryRetry(RequestTarget target, long nowMs);
}
