// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** A CSV file is not a table. */
public final class BadCsvException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /**
   * Makes the failure.
   *
   * @param line the line of the file, from 1
   * @param column the column's name, or its number from 1
   * @param value the text found
   * @param allowed what may stand there
   */
  public BadCsvException(int line, String column, String value, String allowed) {
    super(MessageText.BAD_CSV, Integer.toString(line), column, "'" + value + "'", allowed);
  }
}
