// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** A duty's ring has no room; the event was not taken. */
public final class RingFullException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Makes the failure of one duty's ring. */
  public RingFullException(String duty) {
    super(MessageText.RING_FULL, duty);
  }
}
