// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** The connection of a request ended before all of the request was written. */
public final class RequestCutException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param cause the failure of the write; null if the connection was closed in order
   */
  public RequestCutException(Throwable cause) {
    super(cause, MessageText.REQUEST_CUT, cause == null ? "closed" : cause.getMessage());
  }
}
