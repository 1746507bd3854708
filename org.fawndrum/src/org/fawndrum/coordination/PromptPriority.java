// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import org.fawndrum.state.Column;
import org.fawndrum.state.Row;

/** Computes the priority of a prompt from its length, between the two priorities of its row. */
final class PromptPriority {
  private static final double SHORTEST_LOG = Math.log(1_000);
  private static final double LONGEST_LOG = Math.log(1_000_000);

  private PromptPriority() {}

  /** Returns the priority, 0 to 9, interpolated over the logarithm of the length. */
  static int of(Row row, long promptTokens) {
    long shortest = row.number(Column.PRIORITY_SHORT);
    long longest = row.number(Column.PRIORITY_LONG);
    double log = Math.log(Math.max(1, promptTokens));
    double position = (log - SHORTEST_LOG) / (LONGEST_LOG - SHORTEST_LOG);
    double clipped = Math.max(0, Math.min(1, position));
    return (int) Math.round(shortest + (longest - shortest) * clipped);
  }
}
