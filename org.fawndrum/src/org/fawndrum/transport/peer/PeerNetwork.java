// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.peer;

import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.state.HostAddress;

/** Sends messages to other daemons. Safe for all threads. */
public interface PeerNetwork {
  /** Sends a one-way message, which may be lost. */
  void send(HostAddress to, PeerMessage message);

  /** Sends a one-way message, which may be lost, to several daemons. */
  void send(Collection<HostAddress> to, PeerMessage message);

  /**
   * Sends a request and returns its reply. The future fails with {@code PeerUnreachableException}
   * when the peer does not reply in time.
   */
  CompletableFuture<PeerMessage> request(HostAddress to, PeerMessage.Builder message);

  /** Closes the connection to a peer, if there is one; the next message opens a new one. */
  void disconnect(HostAddress peer);

  /**
   * Runs a step once the receiver has been given all messages that have arrived by now; on the
   * thread that gives it the messages.
   */
  void afterReading(Runnable step);

  /** Receives messages of other daemons that are not replies. */
  interface Receiver {
    /** Handles one message; {@code reply} sends the reply if the message is a request. */
    void received(PeerMessage message, Consumer<PeerMessage.Builder> reply);
  }
}
