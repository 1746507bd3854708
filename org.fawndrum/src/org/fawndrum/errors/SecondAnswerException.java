// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** The body of an answer that ends with its connection contains another answer. */
public final class SecondAnswerException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public SecondAnswerException(String endpoint) {
    super(MessageText.SECOND_ANSWER, endpoint);
  }
}
