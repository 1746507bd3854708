// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import org.fawndrum.state.Column;
import org.fawndrum.state.Row;

/**
 * Usage of one caller group against its limits on this host. The limits of the table apply to all
 * hosts together; this host enforces a fraction of them. Confined to one thread.
 */
final class GroupUsage {
  private static final double BURST_SECONDS = 2.0;

  private final TokenBucket requests;
  private final TokenBucket tokens;
  private double limitFraction = 1.0;
  private Row row;
  int inFlight;
  int waiting;

  GroupUsage(Row row, double limitFraction, long nowMs) {
    this.row = row;
    this.limitFraction = limitFraction;
    this.requests = new TokenBucket(1, 1, nowMs);
    this.tokens = new TokenBucket(1, 1, nowMs);
    resize(nowMs);
    requests.refund(Double.MAX_VALUE);
    tokens.refund(Double.MAX_VALUE);
  }

  /** Applies a new row or fraction and keeps the usage. */
  void update(Row newRow, double newFraction, long nowMs) {
    if (newRow.equals(row) && newFraction == limitFraction) {
      return;
    }
    row = newRow;
    limitFraction = newFraction;
    resize(nowMs);
  }

  private void resize(long nowMs) {
    double requestRate = Math.max(1e-9, row.number(Column.REQUESTS_PER_SECOND) * limitFraction);
    double tokenRate = Math.max(1e-9, row.number(Column.TOKENS_PER_SECOND) * limitFraction);
    requests.resize(requestRate, Math.max(1, requestRate * BURST_SECONDS), nowMs);
    tokens.resize(tokenRate, Math.max(1, tokenRate * BURST_SECONDS), nowMs);
  }

  Row row() {
    return row;
  }

  /** Returns the maximum number of requests in flight on this host; at least one. */
  long inFlightLimit() {
    long limit = row.number(Column.IN_FLIGHT);
    return limit == 0 ? Long.MAX_VALUE : Math.max(1, (long) Math.floor(limit * limitFraction));
  }

  /**
   * Takes the capacity that one request needs from the rate limits.
   *
   * @return 0 if taken, otherwise the time until it can be, in milliseconds
   */
  long tryTakeRates(long workTokens, long nowMs) {
    boolean limitRequests = row.number(Column.REQUESTS_PER_SECOND) > 0;
    boolean limitTokens = row.number(Column.TOKENS_PER_SECOND) > 0;
    if (limitRequests && !requests.tryTake(1, nowMs)) {
      return Math.max(1, requests.waitMs(1, nowMs));
    }
    if (limitTokens && !tokens.tryTake(workTokens, nowMs)) {
      if (limitRequests) {
        requests.refund(1);
      }
      return Math.max(1, tokens.waitMs(workTokens, nowMs));
    }
    return 0;
  }

  /** Returns the column whose rate is exhausted, after {@link #tryTakeRates} failed. */
  Column exhaustedColumn(long nowMs) {
    boolean limitRequests = row.number(Column.REQUESTS_PER_SECOND) > 0;
    return limitRequests && requests.waitMs(1, nowMs) > 0
        ? Column.REQUESTS_PER_SECOND
        : Column.TOKENS_PER_SECOND;
  }
}
