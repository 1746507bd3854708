// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.regex.Pattern;

/** What a cell may hold. Implementations are immutable and safe for all threads. */
public interface CellRule {
  /** The longest value that any cell may hold, in characters. */
  int MAX_LENGTH = 4096;

  /** Tells whether a value may stand in a cell. */
  boolean allows(String value);

  /** Describes the allowed values for an operator, such as {@code a whole number from 1 to 9}. */
  String allowed();

  /** Returns a rule for whole numbers from {@code min} to {@code max}, both included. */
  static CellRule wholeNumber(long min, long max) {
    return new WholeNumber(min, max);
  }

  /** Returns a rule for names separated by single spaces. */
  static CellRule words() {
    return new Matching("[\\w.:*-]+( [\\w.:*-]+)*", "names separated by single spaces, or *");
  }

  /** Returns a rule for plain-service routes. */
  static CellRule routes() {
    String route = "/[\\w./-]*=[\\w.-]+";
    return new Matching(
        "(" + route + "( " + route + ")*)?", "routes like /orders=ordering, separated by spaces");
  }

  /** Returns a rule for {@code yes} and {@code no}. */
  static CellRule yesOrNo() {
    return new Matching("yes|no", "yes or no");
  }

  /** Whole numbers between two bounds. */
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

  /** Values that match a pattern. */
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
