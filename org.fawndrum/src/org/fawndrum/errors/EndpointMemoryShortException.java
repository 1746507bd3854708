// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** An engine does not have enough free memory for its prompt segment. */
public final class EndpointMemoryShortException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for one engine. */
  public EndpointMemoryShortException(String endpoint) {
    super(MessageText.ENDPOINT_MEMORY_SHORT, endpoint);
  }
}
