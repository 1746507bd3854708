// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** An endpoint restarted, which loses the memory and the requests of its earlier incarnation. */
public final class EndpointRestartedException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for an operation on an earlier incarnation of an endpoint. */
  public EndpointRestartedException(String endpoint) {
    super(MessageText.ENDPOINT_RESTARTED, endpoint);
  }
}
