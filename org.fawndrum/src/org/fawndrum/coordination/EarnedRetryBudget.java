// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * Limits retries to a fraction of first sends, so that failures do not multiply the load. Each
 * first send earns a fraction of a retry; a small reserve allows retries under light traffic.
 */
public final class EarnedRetryBudget implements RetryBudget {
  private final double earnedPerRequest;
  private final double maxBalance;
  private double balance;

  /**
   * Creates a budget with a full reserve.
   *
   * @param earnedPerRequest the retries earned by one first send, such as 0.1
   * @param reserve the maximum number of retries that can be saved up
   */
  public EarnedRetryBudget(double earnedPerRequest, double reserve) {
    this.earnedPerRequest = earnedPerRequest;
    this.maxBalance = reserve;
    this.balance = reserve;
  }

  @Override
  public void recordFirstSend(RequestTarget target, long nowMs) {
    balance = Math.min(maxBalance, balance + earnedPerRequest);
  }

  @Override
  public boolean tryRetry(RequestTarget target, long nowMs) {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
