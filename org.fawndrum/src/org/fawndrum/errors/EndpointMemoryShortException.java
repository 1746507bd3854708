// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** An engine has not enough free memory for its part of a prompt. */
public final class EndpointMemoryShortException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Makes the failure of one engine. */
  public EndpointMemoryShortException(String endpoint) {
    super(MessageText.ENDPOINT_MEMORY_SHORT, endpoint);
  }
}
