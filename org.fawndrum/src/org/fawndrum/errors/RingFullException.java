// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** The ring buffer of a duty is full; the event was not accepted. */
public final class RingFullException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for one duty's ring buffer. */
  public RingFullException(String duty) {
    super(MessageText.RING_FULL, duty);
  }
}
