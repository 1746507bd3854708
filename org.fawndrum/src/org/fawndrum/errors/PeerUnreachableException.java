// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;
import org.fawndrum.state.HostAddress;

/** A peer is unreachable or did not answer in time. */
public final class PeerUnreachableException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for one peer address. */
  public PeerUnreachableException(HostAddress peer, Throwable cause) {
    super(cause, MessageText.PEER_UNREACHABLE, peer);
  }
}
