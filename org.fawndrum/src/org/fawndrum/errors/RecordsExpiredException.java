// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** The requested records have expired from the log. */
public final class RecordsExpiredException extends FawndrumException {
  private static final long serialVersionUID = 1L;
  private final long firstOffset;

  /**
   * Creates the exception for a read at {@code requested} of a log that starts at {@code first}.
   */
  public RecordsExpiredException(long requested, long first) {
    super(MessageText.RECORDS_EXPIRED, Long.toString(requested), Long.toString(first));
    this.firstOffset = first;
  }

  /** Returns the first offset that the log retains. */
  public long firstOffset() {
    return firstOffset;
  }
}
