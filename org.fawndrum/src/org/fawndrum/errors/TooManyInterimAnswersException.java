// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** More answers preceded the final one than an endpoint has a reason to send. */
public final class TooManyInterimAnswersException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param maxAnswers the largest number that is accepted
   */
  public TooManyInterimAnswersException(int maxAnswers) {
    super(MessageText.TOO_MANY_INTERIM_ANSWERS, Integer.toString(maxAnswers));
  }
}
