// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.coordination.Refusal;
import org.fawndrum.internal.text.MessageText;

/** A request got no whole answer. */
public final class RefusedException extends FawndrumException {
  private static final long serialVersionUID = 1L;
  private final String requestId;
  private final transient Refusal refusal;

  /** Makes the failure of one request. */
  public RefusedException(String requestId, Refusal refusal) {
    super(MessageText.REQUEST_REFUSED, requestId, refusal.kind().text());
    this.requestId = requestId;
    this.refusal = refusal;
  }

  /** Returns the id of the request; empty when it has none. */
  public String requestId() {
    return requestId;
  }

  /** Returns why, and whether the request ran. */
  public Refusal refusal() {
    return refusal;
  }
}
