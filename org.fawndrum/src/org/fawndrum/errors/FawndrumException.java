// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** Base class of all exceptions of the system. The message comes from the message bundle. */
public abstract class FawndrumException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param text the message
   * @param arguments the arguments of the message's placeholders
   */
  protected FawndrumException(MessageText text, Object... arguments) {
    super(text.format(arguments));
  }

  /** Creates an exception with a cause. */
  protected FawndrumException(Throwable cause, MessageText text, Object... arguments) {
    super(text.format(arguments), cause);
  }
}
