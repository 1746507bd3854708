// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import java.util.concurrent.CompletionException;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.internal.text.MessageText;

/** A request failed without a complete answer. */
public final class RefusedException extends FawndrumException {
  private static final long serialVersionUID = 1L;
  private final String requestId;
  private final transient Refusal refusal;

  /** Creates the exception for one request. */
  public RefusedException(String requestId, Refusal refusal) {
    super(MessageText.REQUEST_REFUSED, requestId, refusal.kind().text());
    this.requestId = requestId;
    this.refusal = refusal;
  }

  /**
   * Returns the refusal that a completion stage failed with, or an internal error for any other
   * failure.
   *
   * @param failure the failure of the stage, possibly wrapped in a {@link CompletionException}
   */
  public static Refusal refusalOf(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof RefusedException refused
        ? refused.refusal()
        : Refusal.of(RefusalKind.INTERNAL, Ran.NO, Refusal.NEVER);
  }

  /** Returns the id of the request; empty if it has none. */
  public String requestId() {
    return requestId;
  }

  /** Returns the refusal, which contains the reason and whether the request ran. */
  public Refusal refusal() {
    return refusal;
  }
}
