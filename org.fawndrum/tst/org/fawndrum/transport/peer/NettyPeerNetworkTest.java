// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
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

  /** Longer than any request takes, in milliseconds. */
  private static final int MAX_WAIT_MS = 20_000;

  /** Longer than the time after which a request without a reply is given up, in milliseconds. */
  private static final long HELD_UP_MS = 1_500;

  /** Shorter than the time after which a request without a reply is given up, in milliseconds. */
  private static final long OPENING_MS = 300;

  private static final int PEERS = 6;

  /** Size of a message that outweighs all else that sending it allocates. */
  private static final int LARGE_BYTES = 500_000;

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

  /** What hosts cost each other could not be told from their metrics: only bytes were counted. */
  @Test
  void messagesAreCountedByKindInBothDirections() {
    HostAddress address = new HostAddress("127.0.0.1", two.port());
    one.request(address, claimRequest()).join();
    one.request(address, claimRequest()).join();
    assertEquals(2, one.sent().of(PeerMessage.BodyCase.CLAIM_REQUEST));
    assertEquals(2, two.received().of(PeerMessage.BodyCase.CLAIM_REQUEST));
    assertEquals(2, one.received().of(PeerMessage.BodyCase.CLAIM_REPLY));
    assertEquals(0, one.received().of(PeerMessage.BodyCase.CLAIM_REQUEST));
    assertEquals(one.sent().bytes(), two.received().bytes());
    assertEquals(two.sent().bytes(), one.received().bytes());
  }

  @Test
  void unreachablePeerFailsWithTypedException() {
    HostAddress closedPort = new HostAddress("127.0.0.1", 1);
    CompletionException failure =
        assertThrows(
            CompletionException.class, () -> one.request(closedPort, claimRequest()).join());
    assertInstanceOf(PeerUnreachableException.class, failure.getCause());
  }

  /** A connection that had fallen silent was used until the peer counted as gone. */
  @Test
  void aConnectionWithoutRepliesIsReplacedByANewOne() throws Exception {
    assertSilentConnectionIsReplaced();
  }

  /** A connection that took its time to open was kept for good, silent as it was. */
  @Test
  void aSilentConnectionThatOpenedLateIsReplacedByANewOne() throws Exception {
    // The loop opens the connection only after this step.
    one.afterReading(NettyPeerNetworkTest::delayOpening);
    assertSilentConnectionIsReplaced();
  }

  private void assertSilentConnectionIsReplaced() throws Exception {
    try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      HostAddress address = new HostAddress("127.0.0.1", silent.getLocalPort());
      try (Socket first = acceptDuring(silent, address);
          Socket second = acceptDuring(silent, address)) {
        byte[] sent = first.getInputStream().readAllBytes();
        assertTrue(sent.length > 0);
        assertTrue(second.isConnected());
      }
    }
  }

  private static void delayOpening() {
    try {
      Thread.sleep(OPENING_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * A host without a processor gave a peer up, and closed the connection, though the reply had
   * arrived and was only not read yet. Here its thread is held up for longer than replies may take.
   */
  @Test
  void aReplyThatArrivedIsReadBeforeItsRequestIsGivenUp() throws Exception {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch replied = new CountDownLatch(1);
    NettyPeerNetwork late = network((message, reply) -> holdUp(held, replied));
    HostAddress lateAddress = new HostAddress("127.0.0.1", late.port());
    BlockingQueue<Consumer<PeerMessage.Builder>> requests = new LinkedBlockingQueue<>();
    NettyPeerNetwork other = network((message, reply) -> requests.add(reply));
    HostAddress address = new HostAddress("127.0.0.1", other.port());
    CompletableFuture<PeerMessage> answer = late.request(address, claimRequest());
    Consumer<PeerMessage.Builder> reply = requests.take();
    other.send(lateAddress, claimRequest().build());
    held.await();
    reply.accept(PeerCodec.newMessage(TWO).setClaimReply(ClaimReply.newBuilder()));
    replied.countDown();
    assertEquals(TWO, PeerCodec.sender(answer.join()));
    late.close();
    other.close();
  }

  /** A zone leader encoded each message once for every host of its zone. */
  @Test
  void aMessageToSeveralPeersIsEncodedOnce() throws InterruptedException {
    BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
    List<NettyPeerNetwork> peers = new ArrayList<>();
    List<HostAddress> addresses = new ArrayList<>();
    for (int peer = 0; peer < PEERS; peer++) {
      peers.add(network((message, reply) -> received.add(message)));
      addresses.add(new HostAddress("127.0.0.1", peers.get(peer).port()));
    }
    one.send(addresses, claimRequest().build());
    for (int peer = 0; peer < PEERS; peer++) {
      received.take();
    }
    // The connections are open, so that this thread writes.
    PeerMessage large =
        PeerCodec.newMessage(ONE)
            .setClaimRequest(ClaimRequest.newBuilder().setKey("k".repeat(LARGE_BYTES)))
            .build();
    ThreadMXBean thread = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long before = thread.getCurrentThreadAllocatedBytes();
    one.send(addresses, large);
    long allocated = thread.getCurrentThreadAllocatedBytes() - before;
    assertTrue(allocated < 2 * LARGE_BYTES, allocated + " bytes");
    for (int peer = 0; peer < PEERS; peer++) {
      assertEquals(large, received.take());
    }
    peers.forEach(NettyPeerNetwork::close);
  }

  /** Holds up the thread that reads, for some time after a reply was sent to it. */
  private static void holdUp(CountDownLatch held, CountDownLatch replied) {
    held.countDown();
    try {
      replied.await();
      Thread.sleep(HELD_UP_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a request that gets no reply; returns the new connection on which it arrived. */
  private Socket acceptDuring(ServerSocket server, HostAddress address) throws IOException {
    CompletableFuture<PeerMessage> request = one.request(address, claimRequest());
    server.setSoTimeout(MAX_WAIT_MS);
    Socket connection = server.accept();
    assertThrows(CompletionException.class, request::join);
    return connection;
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
