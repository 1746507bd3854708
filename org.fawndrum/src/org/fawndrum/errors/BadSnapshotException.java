// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** A snapshot does not match its digest, or contains something that cannot be decoded. */
public final class BadSnapshotException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for the snapshot at one log position. */
  public BadSnapshotException(long position) {
    super(MessageText.BAD_SNAPSHOT, Long.toString(position));
  }
}
