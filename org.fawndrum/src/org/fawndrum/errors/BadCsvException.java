// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** A CSV file is not a valid table. */
public final class BadCsvException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param line line number, from 1
   * @param column name of the column, or its number from 1
   * @param value the invalid text
   * @param allowed description of the valid values
   */
  public BadCsvException(int line, String column, String value, String allowed) {
    super(MessageText.BAD_CSV, Integer.toString(line), column, "'" + value + "'", allowed);
  }
}
