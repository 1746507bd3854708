// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** An endpoint answered something that its protocol does not allow. */
public final class EndpointAnsweredWrongException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Makes the failure of an endpoint that answered with a status or a body that makes no sense. */
  public EndpointAnsweredWrongException(String endpoint, int status, Throwable cause) {
    super(cause, MessageText.ENDPOINT_ANSWERED_WRONG, endpoint, Integer.toString(status));
  }
}
