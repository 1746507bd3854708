// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;
import org.fawndrum.state.HostAddress;

/** Connecting to an endpoint failed; no request was sent. */
public final class EndpointUnreachableException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for one endpoint's address. */
  public EndpointUnreachableException(HostAddress endpoint, Throwable cause) {
    super(cause, MessageText.ENDPOINT_UNREACHABLE, endpoint);
  }
}
