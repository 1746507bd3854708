// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** The head of an answer has a status that is none, or a field whose name is none. */
public final class AnswerHeadDamagedException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public AnswerHeadDamagedException() {
    super(MessageText.ANSWER_HEAD_DAMAGED);
  }
}
