// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** A peer message does not decode, or is not of the size that it claims. */
public final class BadPeerFrameException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** What is wrong with a frame. */
  public enum Fault {
    /** Its claimed length is negative or above the limit. */
    LENGTH,
    /** Its bytes are no message. */
    CONTENT,
    /** It names no sender or has no body. */
    INCOMPLETE
  }

  private final Fault fault;

  /** Makes the failure. */
  public BadPeerFrameException(Fault fault, Throwable cause) {
    super(cause, MessageText.BAD_PEER_FRAME, fault);
    this.fault = fault;
  }

  /** Returns what is wrong. */
  public Fault fault() {
    return fault;
  }
}
