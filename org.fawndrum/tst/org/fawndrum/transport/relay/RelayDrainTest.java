// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fawndrum.coordination.DrainedZones;
import org.fawndrum.coordination.PauseDetector;
import org.fawndrum.coordination.Policies;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.RequestTarget;
import org.fawndrum.coordination.RetryBudget;
import org.fawndrum.coordination.backpressure.HoldLimits;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.proxy.ProxyServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The end of a draining host: it exits when the open requests are answered, however busy it is, but
 * before it would be killed. The test sets the host's clock.
 */
class RelayDrainTest {
  private static final long STARTED_MS = 1_000;

  /** After the time at which the host ends its drain, in milliseconds from the stop signal. */
  private static final long EXPIRED_MS = 7_650;

  /** The latest exit of a host with a grace period of 8 s, in milliseconds from the stop signal. */
  private static final long LATEST_EXIT_MS = 7_850;

  /**
   * Just before the host starts to close idle connections, in milliseconds from the stop signal.
   */
  private static final long IDLE_CLOSE_MS = 2_499;

  /** How long a connection without any request stays open, in milliseconds. */
  private static final long NEW_CONNECTION_GRACE_MS = 300;

  /** Delay, in milliseconds, after which all timers that the host set earlier have fired. */
  private static final long AFTER_TIMERS_MS = 500;

  private static final long POLL_MS = 5;

  /** Interval at which a running host records that it runs, in milliseconds. */
  private static final long TICK_INTERVAL_MS = 200;

  /** How long a host is suspended, in milliseconds. */
  private static final long SUSPENDED_MS = 1_900;

  /** The maximum wait for an expected event, in seconds. */
  private static final long TIMEOUT_S = 20;

  private final HostLog log = new HostLog("test");
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

  /** Kept in a field, because a client without references is closed together with its requests. */
  private final HttpClientAgent client = vertx.createHttpClient();

  private final CountDownLatch unblock = new CountDownLatch(1);
  private final CompletableFuture<RelayServer.IncomingRequest> accepted = new CompletableFuture<>();
  private final RelayBounds bounds =
      new RelayBounds(false, 5_000, 2_000, 2_000, 8_000, 0.2, 100, 10_000, 120);
  private final PauseDetector pauseDetector = new PauseDetector(TICK_INTERVAL_MS);
  private volatile long nowMs = STARTED_MS;
  private HostAddress address;
  private RelayDuty decisions;
  private RelayServer callers;
  private RelayDrain drain;

  /** Permits no retries. */
  private static final class NoRetries implements RetryBudget {
    @Override
    public void recordFirstSend(RequestTarget target, long atMs) {}

    @Override
    public boolean tryRetry(RequestTarget target, long atMs) {
      return false;
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
            update -> {},
            new NoOpEndpointEventPublisher(),
            endpoint -> {},
            log);
    decisions.start();
    try (ServerSocket free = new ServerSocket(0)) {
      address = new HostAddress("127.0.0.1", free.getLocalPort());
    }
    ZoneDrainStore drains = new ZoneDrainStore(new DrainedZones(), (added, ended, now, by) -> {});
    RouteStore routes = new RouteStore((table, cells) -> {}, drains);
    callers =
        new RelayServer(
            vertx,
            address,
            routes,
            new FixedCodec(),
            clock,
            accepted::complete,
            null,
            () -> true,
            new CallerHolds(vertx, () -> HoldLimits.DEFAULT, clock, event -> {}, null));
    drain =
        new RelayDrain(
            vertx,
            callers,
            noProxy(),
            decisions,
            decisions::offer,
            () -> bounds,
            pauseDetector,
            clock,
            log);
  }

  /** Returns a proxy of a host that sends no requests of other hosts. */
  private ProxyServer noProxy() {
    return new ProxyServer(vertx, Optional.empty(), null, () -> nowMs, log);
  }

  @AfterEach
  void closeAll() throws Exception {
    unblock.countDown();
    await(vertx.close());
  }

  private static <T> T await(CompletableFuture<T> future) throws Exception {
    return future.get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private static <T> T await(Future<T> future) throws Exception {
    return await(future.toCompletionStage().toCompletableFuture());
  }

  /** Blocks the thread of the decision duty, like heavy load on a host. */
  private void blockDecisions() throws Exception {
    CompletableFuture<Void> blocked = new CompletableFuture<>();
    decisions.offer(
        new RelayEvent.WorkRequested(
            work -> {
              blocked.complete(null);
              try {
                unblock.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            }));
    await(blocked);
  }

  private void advanceTo(long sinceSignalMs) {
    nowMs = STARTED_MS + sinceSignalMs;
  }

  /** Waits until the event loop has run all timers that were due soon. */
  private void runTimers() throws Exception {
    CompletableFuture<Void> fired = new CompletableFuture<>();
    vertx.setTimer(AFTER_TIMERS_MS, id -> fired.complete(null));
    await(fired);
  }

  /** Waits until the host has accepted its one connection. */
  private void awaitConnection() throws Exception {
    CompletableFuture<Void> connected = new CompletableFuture<>();
    runWhenConnected(() -> connected.complete(null));
    await(connected);
  }

  private void runWhenConnected(Runnable step) {
    vertx.setPeriodic(
        POLL_MS,
        id -> {
          if (callers.connections() == 1 && vertx.cancelTimer(id)) {
            step.run();
          }
        });
  }

  private Future<HttpClientResponse> sendRequest() {
    return client
        .request(HttpMethod.GET, address.port(), address.ip(), "/")
        .compose(request -> request.send());
  }

  @Test
  void hostExitsOnlyAfterFinalAnswersWereDecided() throws Exception {
    CompletableFuture<Void> done = drain.start();
    blockDecisions();
    advanceTo(EXPIRED_MS);
    runTimers();
    assertEquals(1, decisions.queuedEvents(), "the final answers wait for the decision duty");
    assertFalse(done.isDone(), "the host exits before final answers were decided");
    unblock.countDown();
    await(done);
  }

  /**
   * Guards against a late exit: a host handled the stop signal 1.9 s late, after none of its
   * threads had run for 1.45 s, and was killed before it ended its drain.
   */
  @Test
  void stopSignalDuringASuspensionCountsFromTheLastPoll() throws Exception {
    await(callers.listen());
    sendRequest();
    await(accepted);
    pauseDetector.recordTick(nowMs);
    nowMs += SUSPENDED_MS;
    CompletableFuture<Void> done = drain.start();
    advanceTo(LATEST_EXIT_MS);
    await(done);
  }

  @Test
  void hostExitsOnlyAfterAnswersAreSent() throws Exception {
    await(callers.listen());
    Future<HttpClientResponse> answer = sendRequest();
    RelayServer.IncomingRequest request = await(accepted);
    CompletableFuture<Void> done = drain.start();
    advanceTo(EXPIRED_MS);
    runTimers();
    assertFalse(done.isDone(), "the host exits although a caller has no answer");
    vertx.runOnContext(v -> request.http().response().setStatusCode(502).end());
    assertEquals(502, await(answer).statusCode());
    await(done);
  }

  /** Lets a caller connect before the final answers are decided, while no requests are open. */
  private void connectBeforeDecided(RelayEvent event, CompletableFuture<NetSocket> caller) {
    if (event instanceof RelayEvent.DrainEnding) {
      vertx
          .createNetClient()
          .connect(address.port(), address.ip())
          .onSuccess(socket -> runWhenConnected(() -> offerAndComplete(event, caller, socket)));
    } else {
      decisions.offer(event);
    }
  }

  private void offerAndComplete(
      RelayEvent event, CompletableFuture<NetSocket> caller, NetSocket socket) {
    decisions.offer(event);
    caller.complete(socket);
  }

  /**
   * Guards against an exit before the last answer is sent: a host read a request 60 ms after it had
   * logged the end of its drain, refused it, and exited before the refusal was sent; the caller saw
   * a closed connection.
   */
  @Test
  void hostExitsOnlyAfterTheLastReadRequestIsAnswered() throws Exception {
    CompletableFuture<NetSocket> caller = new CompletableFuture<>();
    Consumer<RelayEvent> events = event -> connectBeforeDecided(event, caller);
    drain =
        new RelayDrain(
            vertx,
            callers,
            noProxy(),
            decisions,
            events,
            () -> bounds,
            pauseDetector,
            () -> nowMs,
            log);
    await(callers.listen());
    CompletableFuture<Void> done = drain.start();
    advanceTo(IDLE_CLOSE_MS + 1);
    NetSocket socket = await(caller);
    runTimers();
    assertFalse(done.isDone(), "the host exits although a request may be about to arrive");
    socket.write("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
    RelayServer.IncomingRequest request = await(accepted);
    advanceTo(EXPIRED_MS);
    runTimers();
    assertFalse(done.isDone(), "the host exits although it read a request and sent no answer");
    vertx.runOnContext(v -> request.http().response().setStatusCode(503).end());
    await(done);
  }

  @Test
  void newConnectionIsNotClosedBeforeItsRequestCanArrive() throws Exception {
    await(callers.listen());
    CompletableFuture<Void> done = drain.start();
    advanceTo(IDLE_CLOSE_MS);
    CompletableFuture<Void> closed = new CompletableFuture<>();
    await(vertx.createNetClient().connect(address.port(), address.ip()))
        .closeHandler(v -> closed.complete(null));
    awaitConnection();
    advanceTo(IDLE_CLOSE_MS + NEW_CONNECTION_GRACE_MS - 1);
    runTimers();
    assertFalse(closed.isDone(), "closed before its first request could arrive");
    assertFalse(done.isDone(), "the host exits although a request may be about to arrive");
    advanceTo(IDLE_CLOSE_MS + NEW_CONNECTION_GRACE_MS);
    await(closed);
    await(done);
  }

  @Test
  void hostExitsBeforeItIsKilledDespiteDelays() throws Exception {
    await(callers.listen());
    sendRequest();
    await(accepted);
    CompletableFuture<Void> done = drain.start();
    blockDecisions();
    advanceTo(LATEST_EXIT_MS);
    await(done);
  }

  @Test
  void hostWithMinimalGracePeriodExits() throws Exception {
    RelayBounds shortest = new RelayBounds(false, 5_000, 2_000, 2_000, 100, 0.2, 100, 10_000, 120);
    drain =
        new RelayDrain(
            vertx,
            callers,
            noProxy(),
            decisions,
            decisions::offer,
            () -> shortest,
            pauseDetector,
            () -> nowMs,
            log);
    blockDecisions();
    await(drain.start());
  }
}
