// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** A snapshot's content does not match its digest or cannot be read. */
public final class BadSnapshotException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Makes the failure of the snapshot of one log position. */
  public BadSnapshotException(long position) {
    super(MessageText.BAD_SNAPSHOT, Long.toString(position));
  }
}
