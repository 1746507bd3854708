// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import org.fawndrum.state.Column;
import org.fawndrum.state.Row;

/**
 * What one caller group uses of its limits on this host. The limits of the table hold for all hosts
 * together; this host enforces its part of them. Confined to one thread.
 */
final class GroupUsage {
  private static final double BURST_SECONDS = 2.0;

  private final TokenBucket requests;
  private final TokenBucket tokens;
  private double part = 1.0;
  private Row row;
  int inFlight;
  int waiting;

  GroupUsage(Row row, double part, long nowMs) {
    this.row = row;
    this.part = part;
    this.requests = new TokenBucket(1, 1, nowMs);
    this.tokens = new TokenBucket(1, 1, nowMs);
    resize(nowMs);
    requests.giveBack(Double.MAX_VALUE);
    tokens.giveBack(Double.MAX_VALUE);
  }

  /** Takes over a new row or part, keeping what was used. */
  void update(Row newRow, double newPart, long nowMs) {
    if (newRow.equals(row) && newPart == part) {
      return;
    }
    row = newRow;
    part = newPart;
    resize(nowMs);
  }

  private void resize(long nowMs) {
    double requestRate = Math.max(1e-9, row.number(Column.REQUESTS_PER_SECOND) * part);
    double tokenRate = Math.max(1e-9, row.number(Column.TOKENS_PER_SECOND) * part);
    requests.resize(requestRate, Math.max(1, requestRate * BURST_SECONDS), nowMs);
    tokens.resize(tokenRate, Math.max(1, tokenRate * BURST_SECONDS), nowMs);
  }

  Row row() {
    return row;
  }

  /** Returns how many requests may be in flight here; at least one. */
  long inFlightLimit() {
    long whole = row.number(Column.IN_FLIGHT);
    return whole == 0 ? Long.MAX_VALUE : Math.max(1, (long) Math.floor(whole * part));
  }

  /**
   * Takes what one request needs of the limits a second.
   *
   * @return 0 when taken, else after how many milliseconds it could be
   */
  long takeRates(long workTokens, long nowMs) {
    boolean limitRequests = row.number(Column.REQUESTS_PER_SECOND) > 0;
    boolean limitTokens = row.number(Column.TOKENS_PER_SECOND) > 0;
    if (limitRequests && !requests.take(1, nowMs)) {
      return Math.max(1, requests.waitMs(1, nowMs));
    }
    if (limitTokens && !tokens.take(workTokens, nowMs)) {
      if (limitRequests) {
        requests.giveBack(1);
      }
      return Math.max(1, tokens.waitMs(workTokens, nowMs));
    }
    return 0;
  }

  /** Returns the column whose rate is used up, after {@link #takeRates} failed. */
  Column usedUp(long nowMs) {
    boolean limitRequests = row.number(Column.REQUESTS_PER_SECOND) > 0;
    return limitRequests && requests.waitMs(1, nowMs) > 0
        ? Column.REQUESTS_PER_SECOND
        : Column.TOKENS_PER_SECOND;
  }
}
