// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.regex.Pattern;

/** Validation rule for cell values. Implementations are immutable and thread-safe. */
public interface CellRule {
  /** Maximum length of a cell value, in characters. */
  int MAX_LENGTH = 4096;

  /** Whether a value is valid. */
  boolean allows(String value);

  /** Describes the valid values for operators, such as {@code a whole number from 1 to 9}. */
  String allowed();

  /** Returns a rule for whole numbers from {@code min} to {@code max}, both included. */
  static CellRule wholeNumber(long min, long max) {
    return new WholeNumber(min, max);
  }

  /** Returns a rule for names separated by single spaces. */
  static CellRule words() {
    return new Matching("[\\w.:*-]+( [\\w.:*-]+)*", "names separated by single spaces, or *");
  }

  /** Returns a rule for routes to plain services, {@code /prefix=service}. */
  static CellRule routes() {
    String route = "/[\\w./-]*=[\\w.-]+";
    return new Matching(
        "(" + route + "( " + route + ")*)?", "routes like /orders=ordering, separated by spaces");
  }

  /** Returns a rule for {@code yes} and {@code no}. */
  static CellRule yesOrNo() {
    return new Matching("yes|no", "yes or no");
  }

  /** Accepts whole numbers between two inclusive bounds. */
  record WholeNumber(long min, long max) implements CellRule {
    @Override
    public boolean allows(String value) {
      try {
        long number = Long.parseLong(value);
        return number >= min && number <= max;
      } catch (NumberFormatException e) {
        return false;
      }
    }

    @Override
    public String allowed() {
      return "a whole number from " + min + " to " + max;
    }
  }

  /** Accepts values that match a pattern and are not longer than {@link #MAX_LENGTH}. */
  record Matching(Pattern pattern, String allowed) implements CellRule {
    Matching(String pattern, String allowed) {
      this(Pattern.compile(pattern), allowed);
    }

    @Override
    public boolean allows(String value) {
      return value.length() <= MAX_LENGTH && pattern.matcher(value).matches();
    }
  }
}
