// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import org.fawndrum.transport.proxy.AnswerFraming;
import org.fawndrum.transport.proxy.EndpointAnswer;

/**
 * Reads the body of an endpoint's answer, whole or event by event, within the limits of what this
 * host holds. Confined to one event loop.
 */
final class AnswerReader {
  private static final int MIN_SUCCESS_STATUS = 200;
  private static final int MIN_REDIRECT_STATUS = 300;

  private final EndpointAnswer head;
  private final HeldRequest held;
  private final RelayCodec codec;
  private final Flaws flaws;
  private final Receiver receiver;
  private final EventSplitter splitter = new EventSplitter();
  private Buffer whole = Buffer.buffer();
  private BodyHeads heads;
  private int heldPartialBytes;
  private boolean lacksBody;
  private boolean paused;
  private boolean stopped;

  /** Receives what was read. None of its methods is called after {@link AnswerReader#stop}. */
  interface Receiver {
    /** Called when the whole answer was read; its bytes stay counted until the request ends. */
    void wholeReceived(Buffer body);

    /** Called when bytes of a stream were read, with the events that are now complete. */
    void eventsReceived(List<EventSplitter.StreamEvent> events);

    /** Called when a stream ended after an event. */
    void streamEnded();

    /**
     * Called when the answer cannot be passed on: it is no final one, its body cannot be read, or
     * it, or one of its events, is larger than any may be.
     */
    void answerUnusable();
  }

  /** Is told why an answer is not whole, though its connection was not lost. */
  interface Flaws {
    /**
     * Called when the answer ended before its end: in the middle of an event, or, where its head
     * gives no length, before its body began.
     */
    void endedEarly();

    /** Called when another answer stands in the body. */
    void secondAnswerFound();
  }

  AnswerReader(
      EndpointAnswer head, HeldRequest held, RelayCodec codec, Flaws flaws, Receiver receiver) {
    this.head = head;
    this.held = held;
    this.codec = codec;
    this.flaws = flaws;
    this.receiver = receiver;
  }

  /**
   * Starts to read.
   *
   * @param method the method of the request
   * @param stream whether the answer is a stream, unless its status tells of a failure
   */
  void read(HttpMethod method, boolean stream) {
    int status = head.statusCode();
    boolean success = status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
    // A head that was cut between two lines has lost its length. Unlike a body that was cut, an
    // empty one can be told: an endpoint that has nothing to send can say so by a length of 0.
    lacksBody =
        success && head.framing() == AnswerFraming.CONNECTION && !HttpMethod.HEAD.equals(method);
    if (!head.isReadable()) {
      receiver.answerUnusable();
    } else if (stream && success) {
      searchHeads(true);
      readEvents();
    } else {
      searchHeads(false);
      readWhole();
    }
  }

  private void searchHeads(boolean events) {
    heads = new BodyHeads(events, (name, value) -> codec.namesAnswer(head.headers(), name, value));
  }

  /** Returns whether the next bytes of the body show that another answer stands in it. */
  private boolean hasSecondAnswer(Buffer next) {
    return heads.append(next);
  }

  private void readWhole() {
    head.body().handler(this::keep);
    head.body()
        .endHandler(
            v -> {
              if (!stopped) {
                Buffer body = whole;
                whole = Buffer.buffer();
                if (heads.foundAtEnd()) {
                  flaws.secondAnswerFound();
                } else {
                  ended(lacksBody, () -> receiver.wholeReceived(body));
                }
              }
            });
  }

  private void ended(boolean early, Runnable inOrder) {
    if (early) {
      flaws.endedEarly();
    } else {
      inOrder.run();
    }
  }

  private void keep(Buffer part) {
    if (stopped) {
      return;
    }
    lacksBody = false;
    if (hasSecondAnswer(part)) {
      flaws.secondAnswerFound();
    } else if (whole.length() + (long) part.length() > held.limits().answerBytes()) {
      receiver.answerUnusable();
    } else if (held.tryHold(part.length())) {
      whole.appendBuffer(part);
    } else {
      // The request ends, which cancels its attempt.
      pause();
      held.endForLackOfMemory();
    }
  }

  private void readEvents() {
    head.body().handler(this::split);
    head.body()
        .endHandler(
            v -> {
              if (!stopped) {
                ended(lacksBody || splitter.hasPartialEvent(), receiver::streamEnded);
              }
            });
  }

  private void split(Buffer bytes) {
    if (stopped) {
      return;
    }
    lacksBody = false;
    List<EventSplitter.StreamEvent> events = splitter.append(bytes);
    int own = 0;
    while (own < events.size() && !hasSecondAnswer(events.get(own).bytes())) {
      own++;
    }
    receiver.eventsReceived(events.subList(0, own));
    if (!stopped && own < events.size()) {
      flaws.secondAnswerFound();
    }
    if (stopped) {
      return;
    }
    if (splitter.partialBytes() > held.limits().eventBytes()) {
      receiver.answerUnusable();
    } else {
      holdPartialEvent(splitter.partialBytes());
    }
  }

  private void holdPartialEvent(int partialBytes) {
    int more = partialBytes - heldPartialBytes;
    if (more > 0 && !held.tryHold(more)) {
      // The request ends, which cancels its attempt.
      pause();
      held.endForLackOfMemory();
      return;
    }
    if (more < 0) {
      held.release(-more);
    }
    heldPartialBytes = partialBytes;
  }

  /** Stops reading for a time, so that the endpoint has to stop sending. */
  void pause() {
    if (!stopped && !paused) {
      paused = true;
      head.body().pause();
    }
  }

  /** Reads on after a pause; returns false if there was none. */
  boolean resume() {
    if (stopped || !paused) {
      return false;
    }
    paused = false;
    head.body().resume();
    return true;
  }

  /** Returns whether nothing is read for a time. */
  boolean paused() {
    return paused;
  }

  /** Drops what was read of an incomplete answer, and all that arrives later. */
  void stop() {
    stopped = true;
    held.release(whole.length() + heldPartialBytes);
    whole = Buffer.buffer();
    heldPartialBytes = 0;
  }
}
