// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fawndrum.coordination.AwakeTimes;
import org.fawndrum.coordination.Policies;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.RequestTarget;
import org.fawndrum.coordination.RetryBudget;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The last moments of a host that stops: it ends when what was open has its answers, however busy
 * it is, but before it would be killed. The host's clock is moved by hand.
 */
class RelayDrainTest {
  private static final long BEGUN_MS = 1_000;

  /** After the time at which the host begins its end, in milliseconds from the order to stop. */
  private static final long OVER_MS = 7_650;

  /** When a host with a grace period of 8 s is gone at the latest, in the same. */
  private static final long GONE_MS = 7_850;

  /** Just before the host begins to close resting connections, in the same. */
  private static final long RESTING_CLOSE_MS = 2_499;

  /** How long a connection on which nothing came yet is spared, in milliseconds. */
  private static final long FRESH_MS = 300;

  /** Timers of the host that were set long before this one fired before it, in milliseconds. */
  private static final long AFTER_TIMERS_MS = 500;

  private static final long LOOK_MS = 5;

  /** The time between two looks of a host that is awake, in milliseconds. */
  private static final long AWAKE_LOOK_MS = 200;

  /** How long a host stands still, in milliseconds. */
  private static final long STILL_MS = 1_900;

  /** The longest wait for what must come, in seconds. */
  private static final long LONGEST_S = 20;

  private final HostLog log = new HostLog("test");
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

  /** Held, because a client that nothing refers to is closed with what it sends. */
  private final HttpClientAgent client = vertx.createHttpClient();

  private final CountDownLatch heldUp = new CountDownLatch(1);
  private final CompletableFuture<RelayServer.IncomingRequest> taken = new CompletableFuture<>();
  private final RelayBounds bounds =
      new RelayBounds(false, 5_000, 2_000, 8_000, 0.2, 100, 10_000, 120);
  private final AwakeTimes awake = new AwakeTimes(AWAKE_LOOK_MS);
  private volatile long nowMs = BEGUN_MS;
  private HostAddress address;
  private RelayDuty decisions;
  private RelayServer callers;
  private RelayDrain drain;

  /** Sends nothing a second time. */
  private static final class NoRetries implements RetryBudget {
    @Override
    public void firstSend(RequestTarget target, long atMs) {}

    @Override
    public boolean tryRetry(RequestTarget target, long atMs) {
      return false;
    }
  }

  /** Reads nothing from requests, which all look alike. */
  private static final class BlindCodec implements RelayCodec {
    @Override
    public RelayRequest read(MultiMap headers) {
      return new RelayRequest("r-1", Optional.empty(), 0, 0, 0, List.of(), 0);
    }

    @Override
    public MultiMap forEndpoint(MultiMap fromCaller, Sending sending) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Answer answer(int status, MultiMap headers, String requestId) {
      throw new UnsupportedOperationException();
    }

    @Override
    public EndpointNotice notice(int status, MultiMap headers) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Optional<String> endpointAtFault(MultiMap headers) {
      throw new UnsupportedOperationException();
    }

    @Override
    public MultiMap forCaller(MultiMap fromEndpoint) {
      throw new UnsupportedOperationException();
    }

    @Override
    public MultiMap ofRefusal(String requestId, Refusal refusal) {
      throw new UnsupportedOperationException();
    }
  }

  @BeforeEach
  void makeHost() throws IOException {
    HostClock clock = () -> nowMs;
    RequestCoordinator coordinator =
        new RequestCoordinator(
            new HostIdentity("host-1", 1),
            "zone-a",
            Policies.engineModel(new NoRetries(), () -> false, Set::of));
    decisions =
        new RelayDuty(
            coordinator,
            clock,
            decision -> {},
            news -> {},
            new NoOpEndpointEventPublisher(),
            endpoint -> {},
            log);
    decisions.start();
    try (ServerSocket free = new ServerSocket(0)) {
      address = new HostAddress("127.0.0.1", free.getLocalPort());
    }
    RouteStore routes = new RouteStore((table, cells) -> {});
    callers =
        new RelayServer(
            vertx, address, routes, new BlindCodec(), clock, taken::complete, null, () -> true);
    drain =
        new RelayDrain(
            vertx, callers, decisions, decisions::offer, () -> bounds, awake, clock, log);
  }

  @AfterEach
  void closeAll() throws Exception {
    heldUp.countDown();
    soon(vertx.close());
  }

  private static <T> T soon(CompletableFuture<T> future) throws Exception {
    return future.get(LONGEST_S, TimeUnit.SECONDS);
  }

  private static <T> T soon(Future<T> future) throws Exception {
    return soon(future.toCompletionStage().toCompletableFuture());
  }

  /** Holds up the decisions' thread, as a host with much to do does. */
  private void holdUp() throws Exception {
    CompletableFuture<Void> held = new CompletableFuture<>();
    decisions.offer(
        new RelayEvent.WorkRequested(
            work -> {
              held.complete(null);
              try {
                heldUp.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            }));
    soon(held);
  }

  private void atMs(long sinceOrderMs) {
    nowMs = BEGUN_MS + sinceOrderMs;
  }

  /** Waits until the host's event loop fired whatever it had set for the next moments. */
  private void letTimersFire() throws Exception {
    CompletableFuture<Void> fired = new CompletableFuture<>();
    vertx.setTimer(AFTER_TIMERS_MS, id -> fired.complete(null));
    soon(fired);
  }

  /** Waits until the host knows of its one connection. */
  private void untilConnected() throws Exception {
    CompletableFuture<Void> connected = new CompletableFuture<>();
    whenConnected(() -> connected.complete(null));
    soon(connected);
  }

  private void whenConnected(Runnable step) {
    vertx.setPeriodic(
        LOOK_MS,
        id -> {
          if (callers.connections() == 1 && vertx.cancelTimer(id)) {
            step.run();
          }
        });
  }

  private Future<HttpClientResponse> ask() {
    return client
        .request(HttpMethod.GET, address.port(), address.ip(), "/")
        .compose(request -> request.send());
  }

  @Test
  void theHostEndsOnlyAfterItsEndWasDecided() throws Exception {
    CompletableFuture<Void> done = drain.start();
    holdUp();
    atMs(OVER_MS);
    letTimersFire();
    assertEquals(1, decisions.queuedEvents(), "the end waits for the decisions");
    assertFalse(done.isDone(), "the host ends though nothing was decided about what is open");
    heldUp.countDown();
    soon(done);
  }

  /**
   * Seen: a host handled the order to stop 1.9 s late, after none of its threads had run for 1.45
   * s, and was killed before it began its end.
   */
  @Test
  void anOrderThatCameWhileTheHostStoodStillCountsFromItsLastLook() throws Exception {
    soon(callers.listen());
    ask();
    soon(taken);
    awake.looked(nowMs);
    nowMs += STILL_MS;
    CompletableFuture<Void> done = drain.start();
    atMs(GONE_MS);
    soon(done);
  }

  @Test
  void theHostEndsOnlyAfterTheAnswersLeft() throws Exception {
    soon(callers.listen());
    Future<HttpClientResponse> answer = ask();
    RelayServer.IncomingRequest request = soon(taken);
    CompletableFuture<Void> done = drain.start();
    atMs(OVER_MS);
    letTimersFire();
    assertFalse(done.isDone(), "the host ends though a caller has no answer");
    vertx.runOnContext(v -> request.http().response().setStatusCode(502).end());
    assertEquals(502, soon(answer).statusCode());
    soon(done);
  }

  /** Has a caller connect before it is decided about what is open, when nothing is. */
  private void connectBeforeDecided(RelayEvent event, CompletableFuture<NetSocket> caller) {
    if (event instanceof RelayEvent.DrainEnding) {
      vertx
          .createNetClient()
          .connect(address.port(), address.ip())
          .onSuccess(socket -> whenConnected(() -> offerAndTell(event, caller, socket)));
    } else {
      decisions.offer(event);
    }
  }

  private void offerAndTell(
      RelayEvent event, CompletableFuture<NetSocket> caller, NetSocket socket) {
    decisions.offer(event);
    caller.complete(socket);
  }

  /**
   * Seen: a host read a request 60 ms after it had said that it stopped, refused it, and ended
   * before the refusal had left; the caller saw a closed connection.
   */
  @Test
  void theHostEndsOnlyAfterTheAnswerToWhatItReadLast() throws Exception {
    CompletableFuture<NetSocket> caller = new CompletableFuture<>();
    Consumer<RelayEvent> orders = event -> connectBeforeDecided(event, caller);
    drain =
        new RelayDrain(vertx, callers, decisions, orders, () -> bounds, awake, () -> nowMs, log);
    soon(callers.listen());
    CompletableFuture<Void> done = drain.start();
    atMs(RESTING_CLOSE_MS + 1);
    NetSocket socket = soon(caller);
    letTimersFire();
    assertFalse(done.isDone(), "the host ends though a request may be about to come");
    socket.write("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
    RelayServer.IncomingRequest request = soon(taken);
    atMs(OVER_MS);
    letTimersFire();
    assertFalse(done.isDone(), "the host ends though it read a request and gave no answer");
    vertx.runOnContext(v -> request.http().response().setStatusCode(503).end());
    soon(done);
  }

  @Test
  void aConnectionThatWasJustOpenedIsNotClosedBeforeItsRequestCanCome() throws Exception {
    soon(callers.listen());
    CompletableFuture<Void> done = drain.start();
    atMs(RESTING_CLOSE_MS);
    CompletableFuture<Void> closed = new CompletableFuture<>();
    soon(vertx.createNetClient().connect(address.port(), address.ip()))
        .closeHandler(v -> closed.complete(null));
    untilConnected();
    atMs(RESTING_CLOSE_MS + FRESH_MS - 1);
    letTimersFire();
    assertFalse(closed.isDone(), "closed before its first request could come");
    assertFalse(done.isDone(), "the host ends though a request may be about to come");
    atMs(RESTING_CLOSE_MS + FRESH_MS);
    soon(closed);
    soon(done);
  }

  @Test
  void theHostIsGoneBeforeItIsKilledWhateverHoldsItUp() throws Exception {
    soon(callers.listen());
    ask();
    soon(taken);
    CompletableFuture<Void> done = drain.start();
    holdUp();
    atMs(GONE_MS);
    soon(done);
  }

  @Test
  void aHostWithAlmostNoGracePeriodIsGoneToo() throws Exception {
    RelayBounds shortest = new RelayBounds(false, 5_000, 2_000, 100, 0.2, 100, 10_000, 120);
    drain =
        new RelayDrain(
            vertx, callers, decisions, decisions::offer, () -> shortest, awake, () -> nowMs, log);
    holdUp();
    soon(drain.start());
  }
}
