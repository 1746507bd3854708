// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.Locale;

/** A column of the table: one setting of a caller group, with the rule for its values. */
public enum Column {
  /** Weight of the group; when capacity is short, it is shared in proportion to the weights. */
  SHARE(CellRule.wholeNumber(1, 1_000_000), "1"),
  /** Maximum rate of admitted requests over all hosts, per second; 0 means no limit. */
  REQUESTS_PER_SECOND(CellRule.wholeNumber(0, 1_000_000), "0"),
  /** Maximum rate of admitted prompt and answer tokens over all hosts, per second; 0: no limit. */
  TOKENS_PER_SECOND(CellRule.wholeNumber(0, 1_000_000_000), "0"),
  /** Maximum number of requests in flight over all hosts; 0 means no limit. */
  IN_FLIGHT(CellRule.wholeNumber(0, 1_000_000), "0"),
  /** Maximum number of requests that wait on one host. */
  QUEUE_LENGTH(CellRule.wholeNumber(0, 100_000), "256"),
  /** Maximum duration of a request in milliseconds, up to one day. */
  DEADLINE_MS(CellRule.wholeNumber(1, 86_400_000), "600000"),
  /** Priority of short prompts, 0 (lowest) to 9. */
  PRIORITY_SHORT(CellRule.wholeNumber(0, 9), "7"),
  /** Priority of long prompts, 0 (lowest) to 9. */
  PRIORITY_LONG(CellRule.wholeNumber(0, 9), "3"),
  /** Models that the group may use, separated by spaces; {@code *} means all. */
  MODELS(CellRule.words(), "*"),
  /** Routes to plain services: {@code /prefix=service} separated by spaces. */
  ROUTES(CellRule.routes(), ""),
  /** Whether plain calls of the group may be retried after an unknown outcome. */
  REPEATABLE(CellRule.yesOrNo(), "no");

  private final CellRule rule;
  private final String defaultValue;

  Column(CellRule rule, String defaultValue) {
    this.rule = rule;
    this.defaultValue = defaultValue;
  }

  /** Returns the rule for values of this column. */
  public CellRule rule() {
    return rule;
  }

  /** Returns the value of a cell that was never published or was cleared. */
  public String defaultValue() {
    return defaultValue;
  }

  /** Returns the column's name in CSV files and on the wire, such as {@code queue_length}. */
  public String columnName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the column with the given CSV name, or null when there is none. */
  public static Column named(String columnName) {
    for (Column column : values()) {
      if (column.columnName().equals(columnName)) {
        return column;
      }
    }
    return null;
  }
}
