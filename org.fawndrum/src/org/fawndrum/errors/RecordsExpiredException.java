// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** The log has forgotten records that were asked for. */
public final class RecordsExpiredException extends FawndrumException {
  private static final long serialVersionUID = 1L;
  private final long firstOffset;

  /** Makes the failure of a read from {@code wanted} when the log begins at {@code first}. */
  public RecordsExpiredException(long wanted, long first) {
    super(MessageText.RECORDS_EXPIRED, Long.toString(wanted), Long.toString(first));
    this.firstOffset = first;
  }

  /** Returns the first offset that the log still holds. */
  public long firstOffset() {
    return firstOffset;
  }
}
