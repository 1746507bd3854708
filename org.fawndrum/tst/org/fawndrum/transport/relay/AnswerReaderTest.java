// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.streams.ReadStream;
import java.util.ArrayList;
import java.util.List;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.backpressure.HoldLimits;
import org.fawndrum.transport.proxy.EndpointAnswer;
import org.junit.jupiter.api.Test;

/**
 * Events that are not complete were held without being counted, up to the limit of one event for
 * each stream, so that many events without end filled the memory of a host.
 */
class AnswerReaderTest {
  private static final int TOTAL_BYTES = 100;
  private static final String EVENT = "id: 1\ndata: text\n\n";

  private final Body body = new Body();
  private final Held held = new Held();
  private final List<EventSplitter.StreamEvent> events = new ArrayList<>();
  private final AnswerReader reader =
      new AnswerReader(
          new EndpointAnswer(200, MultiMap.caseInsensitiveMultiMap(), body),
          held,
          new FixedCodec(),
          new Ignored(),
          new Receiver());

  /** A body whose bytes the test provides. */
  private static final class Body implements ReadStream<Buffer> {
    private Handler<Buffer> handler;

    void receive(String text) {
      handler.handle(Buffer.buffer(text));
    }

    @Override
    public Body exceptionHandler(Handler<Throwable> newHandler) {
      return this;
    }

    @Override
    public Body handler(Handler<Buffer> newHandler) {
      handler = newHandler;
      return this;
    }

    @Override
    public Body endHandler(Handler<Void> newHandler) {
      return this;
    }

    @Override
    public Body pause() {
      return this;
    }

    @Override
    public Body resume() {
      return this;
    }

    @Override
    public Body fetch(long amount) {
      return this;
    }
  }

  /** Counts what is held, up to a limit. */
  private static final class Held implements HeldRequest {
    private int bytes;
    private boolean endedForLackOfMemory;

    @Override
    public HoldLimits limits() {
      return HoldLimits.DEFAULT;
    }

    @Override
    public boolean tryHold(int more) {
      boolean hasRoom = bytes + more <= TOTAL_BYTES;
      bytes += hasRoom ? more : 0;
      return hasRoom;
    }

    @Override
    public Refusal refusal() {
      throw new UnsupportedOperationException();
    }

    @Override
    public void release(int less) {
      bytes -= less;
    }

    @Override
    public void queued(int more) {}

    @Override
    public void bodyBlocked(boolean blocked) {}

    @Override
    public void endpointWaits(boolean waits) {}

    @Override
    public void answerDue(long atMs) {}

    @Override
    public void endForLackOfMemory() {
      endedForLackOfMemory = true;
    }
  }

  /** Ignores what it is told. */
  private static final class Ignored implements AnswerReader.Flaws {
    @Override
    public void endedEarly() {}

    @Override
    public void secondAnswerFound() {}
  }

  /** Collects the events. */
  private final class Receiver implements AnswerReader.Receiver {
    @Override
    public void wholeReceived(Buffer whole) {}

    @Override
    public void eventsReceived(List<EventSplitter.StreamEvent> received) {
      events.addAll(received);
    }

    @Override
    public void streamEnded() {}

    @Override
    public void answerUnusable() {}
  }

  @Test
  void aPartOfAnEventIsHeldUntilTheEventIsComplete() {
    reader.read(HttpMethod.POST, true);
    body.receive(EVENT + "id: 2");
    assertEquals("id: 2".length(), held.bytes);
    body.receive("\ndata");
    assertEquals("id: 2\ndata".length(), held.bytes);
    body.receive(": text\n\n");
    assertEquals(0, held.bytes);
    assertEquals(2, events.size());
  }

  @Test
  void aPartOfAnEventIsReleasedWithItsAnswer() {
    reader.read(HttpMethod.POST, true);
    body.receive("id: 1\ndata");
    reader.stop();
    assertEquals(0, held.bytes);
  }

  @Test
  void aRequestEndsWhenThereIsNoMemoryForAPartOfAnEvent() {
    reader.read(HttpMethod.POST, true);
    body.receive("x".repeat(TOTAL_BYTES));
    assertFalse(held.endedForLackOfMemory);
    body.receive("x");
    assertTrue(held.endedForLackOfMemory);
    assertEquals(TOTAL_BYTES, held.bytes);
  }
}
