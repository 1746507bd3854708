// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;
import org.fawndrum.protocol.wire.ProxyFailure;

/** A request could not be sent through another host, or was lost on the way. */
public final class ProxyFailedException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  private final ProxyFailure.Kind kind;

  /**
   * Creates the exception.
   *
   * @param kind what the other host said; {@code UNSPECIFIED} if it said nothing
   * @param proxy the other host; empty if there was none to ask
   */
  public ProxyFailedException(ProxyFailure.Kind kind, String proxy) {
    super(MessageText.PROXY_FAILED, proxy, kind);
    this.kind = kind;
  }

  /** Returns what the other host said; {@code UNSPECIFIED} if it said nothing. */
  public ProxyFailure.Kind kind() {
    return kind;
  }

  /** Returns whether no way to the endpoint was found, or the one that was is lost. */
  public boolean isPathMissing() {
    return !isEndpointAtFault() && kind != ProxyFailure.Kind.CLOSED;
  }

  /** Returns whether the other host says that the endpoint is the cause. */
  public boolean isEndpointAtFault() {
    return kind == ProxyFailure.Kind.REFUSED
        || kind == ProxyFailure.Kind.UNREACHED
        || kind == ProxyFailure.Kind.LOST;
  }
}
