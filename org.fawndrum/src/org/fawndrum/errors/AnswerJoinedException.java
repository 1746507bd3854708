// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** The head of an answer is the beginning of one answer and the rest of another. */
public final class AnswerJoinedException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for a head with a status. */
  public AnswerJoinedException(int status) {
    super(MessageText.ANSWER_JOINED, Integer.toString(status));
  }
}
