// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** A daemon answered a call of its operator API with an error. */
public final class OperatorCallFailedException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for one call. */
  public OperatorCallFailedException(String method, String path, int status, String message) {
    super(MessageText.OPERATOR_CALL_FAILED, method, path, Integer.toString(status), message);
  }
}
