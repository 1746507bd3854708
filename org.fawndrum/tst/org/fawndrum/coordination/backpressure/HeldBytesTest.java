// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.backpressure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which requests end because their callers or endpoints read too slowly. */
class HeldBytesTest {
  private static final HoldLimits LIMITS = new HoldLimits(1_000, 100, 500, 500, 2_000);
  private static final long POLL_MS = 200;

  private final HeldBytes<String> held = new HeldBytes<>(() -> LIMITS);
  private final Map<String, WriteQueue> queues = new HashMap<>();
  private long nowMs = 10_000;

  @BeforeEach
  void open() {
    for (String connection : List.of("a", "b", "c")) {
      held.opened(connection);
    }
  }

  private void sampleFor(long ms) {
    for (long untilMs = nowMs + ms; nowMs < untilMs; nowMs += POLL_MS) {
      sample();
    }
    sample();
  }

  private void sample() {
    held.sample(connection -> queues.getOrDefault(connection, WriteQueue.EMPTY), nowMs);
  }

  /** A caller that never reads, beside one that reads slowly but steadily and one that is fast. */
  @Test
  void onlyTheCallerThatReadsNothingIsEnded() {
    queues.put("a", new WriteQueue(90, "first", 0));
    for (int read = 1; read <= 20; read++) {
      queues.put("b", new WriteQueue(90, "first", read));
      sample();
      nowMs += POLL_MS;
    }
    assertEquals(List.of("a"), held.unreadTooLong(nowMs));
    assertEquals(1, held.slowCallers());
  }

  @Test
  void unreadBytesMayStayForTheWholeLimit() {
    queues.put("a", new WriteQueue(90, "first", 0));
    sampleFor(LIMITS.unreadMs() - POLL_MS);
    assertEquals(List.of(), held.unreadTooLong(nowMs));
    sampleFor(POLL_MS);
    assertEquals(List.of("a"), held.unreadTooLong(nowMs));
  }

  /** Each of these shows that the caller read something. */
  @Test
  void anyProgressStartsTheTimeAnew() {
    for (WriteQueue later :
        List.of(
            new WriteQueue(90, "second", 0),
            new WriteQueue(90, "second", 1),
            new WriteQueue(80, "second", 1),
            WriteQueue.EMPTY)) {
      queues.putIfAbsent("a", new WriteQueue(90, "first", 0));
      sampleFor(LIMITS.unreadMs());
      assertEquals(List.of("a"), held.unreadTooLong(nowMs));
      queues.put("a", later);
      sample();
      assertEquals(List.of(), held.unreadTooLong(nowMs));
    }
  }

  /** Bytes that this host adds are no sign that the caller reads. */
  @Test
  void growingQueueIsNoProgress() {
    for (int bytes = 1; bytes <= 11; bytes++) {
      queues.put("a", new WriteQueue(bytes, "first", 0));
      sample();
      nowMs += POLL_MS;
    }
    assertEquals(List.of("a"), held.unreadTooLong(nowMs));
  }

  @Test
  void bytesOfAllRequestsAndQueuesCount() {
    held.keep(held.requestStarted("a", "r-1"), 400);
    queues.put("b", new WriteQueue(100, "first", 0));
    sample();
    assertEquals(500, held.totalBytes());
    assertTrue(held.hasRoomFor(500));
    assertFalse(held.hasRoomFor(501));
  }

  /** A full connection's queue has only a part of what is queued for the caller. */
  @Test
  void bytesOfAStreamCountUntilTheyAreWritten() {
    RequestHold request = held.requestStarted("a", "r-1");
    request.queued(700);
    queues.put("a", new WriteQueue(100, "first", 0));
    sample();
    assertEquals(700, held.totalBytes());
    request.queued(-650);
    sample();
    assertEquals(100, held.totalBytes());
    held.closed("a");
    assertEquals(0, held.totalBytes());
  }

  @Test
  void nothingIsCountedForEndedRequestsAndClosedConnections() {
    RequestHold ended = held.requestStarted("a", "r-1");
    held.keep(ended, 400);
    held.requestEnded(ended);
    held.keep(ended, 100);
    held.keep(ended, -100);
    RequestHold closed = held.requestStarted("b", "r-2");
    held.keep(closed, 300);
    queues.put("b", new WriteQueue(100, "first", 0));
    sample();
    held.closed("b");
    held.closed("b");
    held.keep(closed, 100);
    held.keep(held.requestStarted("b", "r-3"), 100);
    assertEquals(0, held.totalBytes());
  }

  /** The limit of all is reached: a fast caller with a large body is not ended. */
  @Test
  void requestThatHoldsMostForASlowReaderEndsFirst() {
    held.keep(held.requestStarted("a", "r-1"), 600);
    held.keep(held.requestStarted("b", "r-2"), 50);
    held.requestStarted("c", "r-3");
    queues.put("b", new WriteQueue(60, "first", 0));
    queues.put("c", new WriteQueue(90, "first", 0));
    sample();
    assertEquals(Optional.empty(), held.largestSlow(nowMs));
    sampleFor(2 * POLL_MS);
    assertEquals(Optional.of("b"), held.largestSlow(nowMs));
    held.closed("b");
    assertEquals(Optional.of("c"), held.largestSlow(nowMs));
  }

  @Test
  void endpointThatDoesNotReadABodyIsASlowReader() {
    RequestHold request = held.requestStarted("a", "r-1");
    held.keep(request, 600);
    request.bodyBlocked(true, nowMs);
    nowMs += HeldBytes.SLOW_AFTER_MS;
    request.bodyBlocked(true, nowMs);
    assertEquals(Optional.of("a"), held.largestSlow(nowMs));
    request.bodyBlocked(false, nowMs);
    assertEquals(Optional.empty(), held.largestSlow(nowMs));
  }

  /** Callers that read steadily were cut off: their progress may show only after some seconds. */
  @Test
  void unreadBytesOfAWholeAnswerMayStayUntilItsCallerStopsWaiting() {
    RequestHold request = held.requestStarted("a", "r-1");
    request.answerDue(nowMs + 60_000);
    held.requestEnded(request);
    queues.put("a", new WriteQueue(90, "first", 0));
    sampleFor(60_000 - POLL_MS);
    assertEquals(List.of(), held.unreadTooLong(nowMs));
    sampleFor(POLL_MS);
    assertEquals(List.of("a"), held.unreadTooLong(nowMs));
  }

  /** Endpoints end an answer that is unread for some seconds, and seem to have failed. */
  @Test
  void endpointWaitsForACallerOnlyForTheLimit() {
    RequestHold request = held.requestStarted("a", "r-1");
    request.answerDue(nowMs + 60_000);
    queues.put("a", new WriteQueue(90, "first", 0));
    sampleFor(LIMITS.unreadMs());
    request.endpointWaits(true, nowMs);
    request.endpointWaits(true, nowMs + POLL_MS);
    sampleFor(LIMITS.unreadMs() - POLL_MS);
    assertEquals(List.of(), held.unreadTooLong(nowMs));
    sampleFor(POLL_MS);
    assertEquals(List.of("a"), held.unreadTooLong(nowMs));
    request.endpointWaits(false, nowMs);
    assertEquals(List.of(), held.unreadTooLong(nowMs));
  }

  /**
   * The limit of all is reached: a caller that reads would be cut off instead of one that does not.
   */
  @Test
  void callerThatReadsNothingEndsBeforeOneThatReadsSlowly() {
    held.keep(held.requestStarted("a", "r-1"), 600);
    held.keep(held.requestStarted("b", "r-2"), 50);
    queues.put("a", new WriteQueue(90, "first", 0));
    queues.put("b", new WriteQueue(90, "first", 0));
    sampleFor(4 * POLL_MS);
    queues.put("a", new WriteQueue(90, "first", 1));
    sampleFor(4 * POLL_MS);
    assertEquals(Optional.of("b"), held.largestSlow(nowMs));
    held.closed("b");
    assertEquals(Optional.of("a"), held.largestSlow(nowMs));
  }
}
