// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** An answer, of which this host keeps the whole body, has no end, or is far too large. */
public final class AnswerTooLargeException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param maxBytes the largest body that is kept
   */
  public AnswerTooLargeException(int maxBytes) {
    super(MessageText.ANSWER_TOO_LARGE, Integer.toString(maxBytes));
  }
}
