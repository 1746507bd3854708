// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.fawndrum.errors.PeerUnreachableException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.wire.ClaimReply;
import org.fawndrum.protocol.wire.ClaimRequest;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.settings.ListenSettings;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Messages between daemons over real sockets, and bytes that are no messages. */
class NettyPeerNetworkTest {
  private static final HostIdentity ONE = new HostIdentity("one", 1);
  private static final HostIdentity TWO = new HostIdentity("two", 1);
  private static final ListenSettings ANYWHERE =
      new ListenSettings(new HostAddress("127.0.0.1", 0), Optional.empty());

  private final NettyPeerNetwork one = network((message, reply) -> {});
  private final NettyPeerNetwork two =
      network(
          (message, reply) ->
              reply.accept(
                  PeerCodec.from(TWO)
                      .setClaimReply(ClaimReply.newBuilder().setAnswer(ClaimReply.Answer.RAN))));

  private static NettyPeerNetwork network(PeerNetwork.Receiver receiver) {
    NettyPeerNetwork network =
        new NettyPeerNetwork(ANYWHERE, receiver, new HostLog("org.fawndrum.test"));
    network.listen().join();
    return network;
  }

  @AfterEach
  void close() {
    one.close();
    two.close();
  }

  private static PeerMessage.Builder question() {
    return PeerCodec.from(ONE).setClaimRequest(ClaimRequest.newBuilder().setKey("w/c|k"));
  }

  @Test
  void replyComesBackToItsQuestion() {
    HostAddress address = new HostAddress("127.0.0.1", two.port());
    PeerMessage reply = one.ask(address, question()).join();
    assertEquals(ClaimReply.Answer.RAN, reply.getClaimReply().getAnswer());
    assertEquals(TWO, PeerCodec.sender(reply));
  }

  @Test
  void nobodyThereIsATypedFailure() {
    HostAddress nowhere = new HostAddress("127.0.0.1", 1);
    CompletionException failure =
        assertThrows(CompletionException.class, () -> one.ask(nowhere, question()).join());
    assertInstanceOf(PeerUnreachableException.class, failure.getCause());
  }

  @Test
  void messagesThatLieOrDoNotDecodeAreCountedAndDropped() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", two.port())) {
      socket.getOutputStream().write(new byte[] {0, 0, 0, 3, -1, -1, -1});
      socket.getOutputStream().write(new byte[] {0x7f, -1, -1, -1, 1, 2, 3});
      socket.getOutputStream().flush();
      assertEquals(-1, socket.getInputStream().read());
    }
    assertEquals(2, two.dropped());
    HostAddress address = new HostAddress("127.0.0.1", two.port());
    assertEquals(TWO, PeerCodec.sender(one.ask(address, question()).join()));
  }
}
