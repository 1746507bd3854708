// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** An endpoint's answer violates its protocol. */
public final class EndpointAnsweredWrongException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for an answer with an unexpected status or body. */
  public EndpointAnsweredWrongException(String endpoint, int status, Throwable cause) {
    super(cause, MessageText.ENDPOINT_ANSWERED_WRONG, endpoint, Integer.toString(status));
  }
}
