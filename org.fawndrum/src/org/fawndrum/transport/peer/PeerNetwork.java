// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.peer;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.state.HostAddress;

/** Messages to and from other daemons. Safe for all threads. */
public interface PeerNetwork {
  /** Sends a message that wants no reply; it may be lost. */
  void tell(HostAddress to, PeerMessage message);

  /**
   * Sends a message and gives its reply. Fails with {@code PeerUnreachableException} when none
   * comes in time.
   */
  CompletableFuture<PeerMessage> ask(HostAddress to, PeerMessage.Builder message);

  /** Ends the connection to a peer, if there is one; the next message opens another. */
  void drop(HostAddress peer);

  /** Takes messages that others send on their own account. */
  interface Receiver {
    /** Takes one message; {@code reply} sends the answer to one that wants a reply. */
    void received(PeerMessage message, Consumer<PeerMessage.Builder> reply);
  }
}
