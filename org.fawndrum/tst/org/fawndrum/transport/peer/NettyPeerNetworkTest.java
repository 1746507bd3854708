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

/** Requests and replies between daemons over real sockets, and malformed input. */
class NettyPeerNetworkTest {
  private static final HostIdentity ONE = new HostIdentity("one", 1);
  private static final HostIdentity TWO = new HostIdentity("two", 1);
  private static final ListenSettings ANY_PORT =
      new ListenSettings(new HostAddress("127.0.0.1", 0), Optional.empty());

  private final NettyPeerNetwork one = network((message, reply) -> {});
  private final NettyPeerNetwork two =
      network(
          (message, reply) ->
              reply.accept(
                  PeerCodec.newMessage(TWO)
                      .setClaimReply(ClaimReply.newBuilder().setAnswer(ClaimReply.Answer.RAN))));

  private static NettyPeerNetwork network(PeerNetwork.Receiver receiver) {
    NettyPeerNetwork network =
        new NettyPeerNetwork(ANY_PORT, receiver, new HostLog("org.fawndrum.test"));
    network.listen().join();
    return network;
  }

  @AfterEach
  void close() {
    one.close();
    two.close();
  }

  private static PeerMessage.Builder claimRequest() {
    return PeerCodec.newMessage(ONE).setClaimRequest(ClaimRequest.newBuilder().setKey("w/c|k"));
  }

  @Test
  void replyIsMatchedToItsRequest() {
    HostAddress address = new HostAddress("127.0.0.1", two.port());
    PeerMessage reply = one.request(address, claimRequest()).join();
    assertEquals(ClaimReply.Answer.RAN, reply.getClaimReply().getAnswer());
    assertEquals(TWO, PeerCodec.sender(reply));
  }

  @Test
  void unreachablePeerFailsWithTypedException() {
    HostAddress closedPort = new HostAddress("127.0.0.1", 1);
    CompletionException failure =
        assertThrows(
            CompletionException.class, () -> one.request(closedPort, claimRequest()).join());
    assertInstanceOf(PeerUnreachableException.class, failure.getCause());
  }

  @Test
  void messagesWithInvalidContentOrLengthAreCountedAndDropped() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", two.port())) {
      socket.getOutputStream().write(new byte[] {0, 0, 0, 3, -1, -1, -1});
      socket.getOutputStream().write(new byte[] {0x7f, -1, -1, -1, 1, 2, 3});
      socket.getOutputStream().flush();
      assertEquals(-1, socket.getInputStream().read());
    }
    assertEquals(2, two.droppedMessages());
    HostAddress address = new HostAddress("127.0.0.1", two.port());
    assertEquals(TWO, PeerCodec.sender(one.request(address, claimRequest()).join()));
  }
}
