// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** An endpoint has started again since: what it held and worked on before is gone. */
public final class EndpointRestartedException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Makes the failure of something meant for an earlier start of an endpoint. */
  public EndpointRestartedException(String endpoint) {
    super(MessageText.ENDPOINT_RESTARTED, endpoint);
  }
}
