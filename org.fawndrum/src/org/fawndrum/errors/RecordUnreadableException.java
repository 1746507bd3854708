// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** A log record cannot be decoded. */
public final class RecordUnreadableException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for the record at one offset. */
  public RecordUnreadableException(long offset, Throwable cause) {
    super(cause, MessageText.RECORD_UNREADABLE, Long.toString(offset));
  }
}
