// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** A peer message cannot be decoded, or its declared length is invalid. */
public final class BadPeerFrameException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Kind of defect of a frame. */
  public enum Fault {
    /** The declared length is negative or above the limit. */
    LENGTH,
    /** The bytes are not a valid message. */
    CONTENT,
    /** The sender or the body is missing. */
    INCOMPLETE
  }

  private final Fault fault;

  /** Creates the exception; the cause may be null. */
  public BadPeerFrameException(Fault fault, Throwable cause) {
    super(cause, MessageText.BAD_PEER_FRAME, fault);
    this.fault = fault;
  }

  /** Returns the kind of defect. */
  public Fault fault() {
    return fault;
  }
}
