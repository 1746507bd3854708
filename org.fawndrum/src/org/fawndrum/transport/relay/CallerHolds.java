// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.WriteBufferWaterMark;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Reason;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.coordination.backpressure.ConnectionHold;
import org.fawndrum.coordination.backpressure.HeldBytes;
import org.fawndrum.coordination.backpressure.HoldLimits;
import org.fawndrum.coordination.backpressure.RequestHold;
import org.fawndrum.coordination.backpressure.WriteQueue;
import org.fawndrum.transport.HostClock;

/**
 * Watches what this host holds for its callers' connections and ends those that are not read for
 * too long. Confined to one event loop, except for the two counts.
 */
final class CallerHolds {
  private static final long POLL_MS = 200;

  /** The refusal of a request for which this host has no memory. */
  static final Refusal MEMORY_FULL =
      Refusal.of(RefusalKind.HOST_MEMORY_FULL, Ran.NO, RelayIntake.OTHER_HOST_RETRY_MS);

  private final Supplier<HoldLimits> limits;
  private final HostClock clock;
  private final Consumer<RelayEvent> events;
  private final DecisionLog decisionLog;
  private final HeldBytes<HttpConnection> held;

  /**
   * Creates the watch.
   *
   * @param limits the limits in force
   * @param events receives the ends of requests, without losing any
   */
  CallerHolds(
      Vertx vertx,
      Supplier<HoldLimits> limits,
      HostClock clock,
      Consumer<RelayEvent> events,
      DecisionLog decisionLog) {
    this.limits = limits;
    this.clock = clock;
    this.events = events;
    this.decisionLog = decisionLog;
    this.held = new HeldBytes<>(limits);
    vertx.setPeriodic(POLL_MS, id -> poll());
  }

  /** Adds a new connection. */
  void opened(HttpConnection connection) {
    held.opened(connection);
    int queueBytes = limits.get().callerBytes();
    channel(connection)
        .ifPresent(
            channel ->
                channel
                    .config()
                    .setWriteBufferWaterMark(new WriteBufferWaterMark(queueBytes / 2, queueBytes)));
  }

  /** Removes a closed connection. */
  void closed(HttpConnection connection) {
    held.closed(connection);
  }

  /** Adds a request, the only one in progress on its connection. */
  HeldRequest requestStarted(HttpConnection connection, String requestId) {
    return new Held(held.requestStarted(connection, requestId));
  }

  /** Removes what was kept for the request of a connection, which has its whole answer. */
  void requestEnded(HttpConnection connection) {
    held.of(connection).ifPresent(hold -> held.requestEnded(hold.request()));
  }

  /**
   * Returns whether a new request can be accepted. If the limit of all is reached, the request that
   * holds most for a slow reader ends first.
   */
  boolean hasRoom() {
    return makeRoom(1);
  }

  /** Returns the bytes held for all connections; thread-safe. */
  long totalBytes() {
    return held.totalBytes();
  }

  /** Returns the number of callers that read slowly; thread-safe. */
  int slowCallers() {
    return held.slowCallers();
  }

  private void poll() {
    long nowMs = clock.nowMs();
    held.sample(CallerHolds::writeQueue, nowMs);
    held.unreadTooLong(nowMs)
        .forEach(connection -> end(connection, RefusalKind.CALLER_TOO_SLOW, nowMs));
  }

  private boolean makeRoom(long bytes) {
    if (held.hasRoomFor(bytes)) {
      return true;
    }
    long nowMs = clock.nowMs();
    held.sample(CallerHolds::writeQueue, nowMs);
    Optional<HttpConnection> largest = held.largestSlow(nowMs);
    while (!held.hasRoomFor(bytes) && largest.isPresent()) {
      end(largest.get(), RefusalKind.HOST_MEMORY_FULL, nowMs);
      largest = held.largestSlow(nowMs);
    }
    return held.hasRoomFor(bytes);
  }

  /**
   * Ends the request of a connection. A caller with unread bytes can receive no refusal, and an
   * orderly close would wait for it to read them, so its connection is reset.
   */
  private void end(HttpConnection connection, RefusalKind kind, long nowMs) {
    ConnectionHold hold = held.of(connection).orElseThrow();
    RequestHold request = hold.request();
    boolean callerSlow = hold.unreadMs(nowMs) > 0;
    Reason reason = callerSlow ? Reason.CALLER_TOO_SLOW : Reason.ENDPOINT_TOO_SLOW;
    log(hold, request, reason, nowMs);
    endRequest(request, kind, reason);
    if (callerSlow) {
      held.closed(connection);
      context(connection).ifPresent(CallerHolds::reset);
    }
  }

  private void endRequest(RequestHold request, RefusalKind kind, Reason reason) {
    held.requestEnded(request);
    if (!request.id().isEmpty()) {
      events.accept(new RelayEvent.RequestEnded(request.id(), kind, reason));
    }
  }

  private void log(ConnectionHold hold, RequestHold request, Reason reason, long nowMs) {
    decisionLog.slowReader(
        new DecisionLog.SlowReaderDetails(
            request.id(),
            reason.name().toLowerCase(Locale.ROOT),
            hold.unreadMs(nowMs),
            hold.slowlyRead(),
            request.endpointWaitsMs(nowMs),
            request.leftMs(nowMs),
            hold.queuedBytes(),
            request.keptBytes(),
            held.totalBytes()));
  }

  /** Returns the handler context of a connection's channel; empty if it has none. */
  static Optional<ChannelHandlerContext> context(HttpConnection connection) {
    return connection instanceof HttpServerConnection server
        ? Optional.of(server.channelHandlerContext())
        : Optional.empty();
  }

  private static Optional<Channel> channel(HttpConnection connection) {
    return context(connection).map(ChannelHandlerContext::channel);
  }

  private static WriteQueue writeQueue(HttpConnection connection) {
    return channel(connection).map(CallerHolds::writeQueue).orElse(WriteQueue.EMPTY);
  }

  private static WriteQueue writeQueue(Channel channel) {
    ChannelOutboundBuffer queue = channel.unsafe().outboundBuffer();
    return queue == null || queue.totalPendingWriteBytes() == 0
        ? WriteQueue.EMPTY
        : new WriteQueue(queue.totalPendingWriteBytes(), queue.current(), queue.currentProgress());
  }

  /** Drops what is queued and resets the connection. */
  private static void reset(ChannelHandlerContext context) {
    context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
    // Not the channel's close(), which waits until the queue is written.
    context.close();
  }

  /** What is held for one request. */
  private final class Held implements HeldRequest {
    private final RequestHold request;

    Held(RequestHold request) {
      this.request = request;
    }

    @Override
    public HoldLimits limits() {
      return limits.get();
    }

    @Override
    public boolean tryHold(int bytes) {
      boolean hasRoom = makeRoom(bytes);
      if (hasRoom) {
        held.keep(request, bytes);
      }
      return hasRoom;
    }

    @Override
    public Refusal refusal() {
      return MEMORY_FULL;
    }

    @Override
    public void release(int bytes) {
      held.keep(request, -bytes);
    }

    @Override
    public void queued(int bytes) {
      request.queued(bytes);
    }

    @Override
    public void bodyBlocked(boolean blocked) {
      request.bodyBlocked(blocked, clock.nowMs());
    }

    @Override
    public void endpointWaits(boolean waits) {
      request.endpointWaits(waits, clock.nowMs());
    }

    @Override
    public void answerDue(long atMs) {
      request.answerDue(atMs);
    }

    @Override
    public void endForLackOfMemory() {
      log(new ConnectionHold(), request, Reason.HOST_MEMORY_FULL, clock.nowMs());
      endRequest(request, RefusalKind.HOST_MEMORY_FULL, Reason.HOST_MEMORY_FULL);
    }
  }
}
