// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * Keeps sending again in proportion to first sends, so that a failure does not multiply the load.
 * Each first send earns a part of a retry; a small reserve allows retries when traffic is thin.
 */
public final class EarnedRetryBudget implements RetryBudget {
  private final double earnedPerRequest;
  private final double most;
  private double balance;

  /**
   * Makes a budget that starts with its whole reserve.
   *
   * @param earnedPerRequest retries earned by one first send, such as 0.1
   * @param reserve the most retries that can be saved up
   */
  public EarnedRetryBudget(double earnedPerRequest, double reserve) {
    this.earnedPerRequest = earnedPerRequest;
    this.most = reserve;
    this.balance = reserve;
  }

  @Override
  public void firstSend(RequestTarget target, long nowMs) {
    balance = Math.min(most, balance + earnedPerRequest);
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
