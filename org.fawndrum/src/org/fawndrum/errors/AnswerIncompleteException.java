// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** The connection of an answer was closed in order before the answer was whole. */
public final class AnswerIncompleteException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public AnswerIncompleteException(String endpoint) {
    super(MessageText.ANSWER_INCOMPLETE, endpoint);
  }
}
