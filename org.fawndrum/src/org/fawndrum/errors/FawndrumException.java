// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** The parent of every failure of the system. Its message comes from the message bundle. */
public abstract class FawndrumException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Makes a failure.
   *
   * @param text the message
   * @param arguments the data that the message names
   */
  protected FawndrumException(MessageText text, Object... arguments) {
    super(text.format(arguments));
  }

  /** Makes a failure that another one caused. */
  protected FawndrumException(Throwable cause, MessageText text, Object... arguments) {
    super(text.format(arguments), cause);
  }
}
