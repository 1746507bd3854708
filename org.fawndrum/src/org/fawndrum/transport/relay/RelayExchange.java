// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.Exchange;
import org.fawndrum.transport.proxy.EndpointAnswer;

/**
 * One relayed request in progress. A plain answer is buffered until it is complete. A stream is
 * forwarded event by event, and after a failure another attempt resumes it after the last forwarded
 * event. Confined to one event loop.
 */
final class RelayExchange implements Exchange, AttemptOwner {
  private static final int MIN_FAILURE_STATUS = 500;

  /** Most requests are sent to one endpoint only. */
  private static final int INITIAL_ENDPOINTS = 2;

  private final RelayCall call;
  private final HttpServerResponse response;
  private final BooleanSupplier callerDisconnected;
  private final Context context;
  private final RelayContext relay;
  private final RelayIntake.AttemptEventListener attemptListener;
  private final StreamPace streamPace = new StreamPace();
  private final Set<String> sentTo = new HashSet<>(INITIAL_ENDPOINTS);
  private RelayAttempt currentAttempt;
  private RelayAttempt answeringAttempt;
  private FullAnswer failedAnswer;
  private long lastEventId;
  private boolean handedOver;

  /** Whether an attempt got the answer to another request. */
  private boolean strayReceived;

  /** Whether the caller's answer has a head; it can get no other one. */
  private boolean answerBegun;

  private boolean finished;

  /** An endpoint's answer with its complete body. */
  record FullAnswer(int status, MultiMap headers, Buffer body) {
    static FullAnswer of(EndpointAnswer head, Buffer body) {
      return new FullAnswer(head.statusCode(), head.headers(), body);
    }
  }

  RelayExchange(
      RelayCall call,
      HttpServerResponse response,
      BooleanSupplier callerDisconnected,
      Context context,
      RelayContext relay,
      RelayIntake.AttemptEventListener attemptListener) {
    this.call = call;
    this.response = response;
    this.callerDisconnected = callerDisconnected;
    this.context = context;
    this.relay = relay;
    this.attemptListener = attemptListener;
    this.lastEventId = call.request().lastEventId();
  }

  @Override
  public void runOnLoop(Runnable step) {
    context.runOnContext(v -> step.run());
  }

  @Override
  public void send(Action.Send send) {
    if (finished || callerDisconnected.getAsBoolean()) {
      attemptListener.onEvent(send.attempt(), AttemptEvent.CONNECT_FAILED);
      return;
    }
    PromptMemory memory =
        new PromptMemory(
            relay.clock(),
            (ms, step) -> context.owner().setTimer(ms, id -> step.run()),
            relay.engineControl(),
            send.attempt(),
            send.helpers(),
            relay.log());
    boolean sentBefore = !sentTo.add(send.endpoint().name());
    AttemptPath path =
        new AttemptPath(relay.paths(), relay.proofs(), send.endpoint(), sentBefore, strayReceived);
    call.held().endpointWaits(false);
    currentAttempt = new RelayAttempt(send, call, lastEventId, path, relay, memory, this);
    currentAttempt.start();
  }

  @Override
  public void cancel(Action.Cancel cancel) {
    if (currentAttempt != null && currentAttempt.isOf(cancel.attempt())) {
      currentAttempt.cancel();
    }
  }

  @Override
  public void askEndpoint(Action.AskEndpoint ask) {
    if (!finished && currentAttempt != null && currentAttempt.isOf(ask.attempt())) {
      currentAttempt
          .path()
          .proveAlive()
          .onSuccess(proof -> attemptListener.onEvent(ask.attempt(), AttemptEvent.ALIVE));
    }
  }

  @Override
  public boolean anyRequestSent() {
    return handedOver;
  }

  @Override
  public void handedOver() {
    handedOver = true;
  }

  /**
   * Returns whether the caller can get an answer: one that has received a part of a stream needs a
   * stream with the same status and media type. Another answer, empty or without a body, would end
   * that stream as complete if it were read as events.
   */
  @Override
  public boolean continues(EndpointAnswer head) {
    return !answerBegun
        || head.statusCode() == response.getStatusCode()
            && mayBeOfSameType(head.headers(), response.headers());
  }

  /** Returns whether two heads name the same media type; one that names none may be of any. */
  private static boolean mayBeOfSameType(MultiMap first, MultiMap second) {
    String type = mediaType(first);
    String other = mediaType(second);
    return type.isEmpty() || other.isEmpty() || type.equalsIgnoreCase(other);
  }

  private static String mediaType(MultiMap headers) {
    String value = headers.get(HttpHeaders.CONTENT_TYPE);
    return value == null ? "" : value.split(";", 2)[0].trim();
  }

  @Override
  public void answered(RelayAttempt attempt, FullAnswer answer) {
    if (!isCurrent(attempt)) {
      return;
    }
    if (answer.status() >= MIN_FAILURE_STATUS && call.route().repeatable()) {
      failedAnswer = answer;
      attemptListener.onEvent(attempt.id(), AttemptEvent.FAILED_BY_ENDPOINT);
      return;
    }
    end(() -> sendAnswer(answer));
    attemptListener.onEvent(attempt.id(), AttemptEvent.ANSWERED);
  }

  /** Returns whether the caller still receives the data of an attempt. */
  private boolean isCurrent(RelayAttempt attempt) {
    return !finished && attempt == currentAttempt;
  }

  /** Sets the status and headers of a stream's answer, unless an earlier attempt did. */
  private void setHead(RelayAttempt attempt) {
    if (!answerBegun) {
      answerBegun = true;
      EndpointAnswer head = attempt.answerHead();
      response.headers().addAll(relay.codec().callerHeaders(head.headers()));
      response.setStatusCode(head.statusCode()).setChunked(true);
    }
  }

  /**
   * Ends the exchange with an answer. A stream that has begun is broken off instead; without its
   * end marker it never looks complete to the caller.
   */
  private void end(Runnable answer) {
    if (!response.closed() && !response.ended()) {
      if (answerBegun) {
        response.reset();
      } else {
        answerBegun = true;
        answer.run();
      }
    }
    // Set last, so that a refusal still ends the answer if writing it fails with an exception.
    finished = true;
  }

  private void sendAnswer(FullAnswer answer) {
    response.headers().addAll(relay.codec().callerHeaders(answer.headers()));
    response.setStatusCode(answer.status());
    new BodyWriter(response, response.headers(), answer.body(), blocked -> {}).write();
  }

  @Override
  public boolean eventReceived(RelayAttempt attempt, EventSplitter.StreamEvent event) {
    boolean alreadyForwarded = event.id() <= lastEventId;
    if (!isCurrent(attempt) || alreadyForwarded) {
      return true;
    }
    if (event.id() != lastEventId + 1) {
      return false;
    }
    setHead(attempt);
    lastEventId = event.id();
    int bytes = event.bytes().length();
    call.held().queued(bytes);
    response.write(event.bytes()).onComplete(written -> call.held().queued(-bytes));
    if (response.writeQueueFull()) {
      pause(attempt);
    }
    streamPace.recordEvent(relay.clock().nowMs());
    if (attempt != answeringAttempt) {
      answeringAttempt = attempt;
      attemptListener.onEvent(attempt.id(), AttemptEvent.ANSWERING);
    }
    return true;
  }

  /** Stops reading a stream until its caller has read a part of what is queued. */
  private void pause(RelayAttempt attempt) {
    attempt.pause();
    call.held().endpointWaits(true);
    response.drainHandler(
        v -> {
          call.held().endpointWaits(false);
          attempt.resume();
        });
  }

  @Override
  public void streamCompleted(RelayAttempt attempt) {
    if (!isCurrent(attempt)) {
      return;
    }
    call.held().endpointWaits(false);
    setHead(attempt);
    response.end();
    finished = true;
    relay
        .decisionLog()
        .streamCompleted(
            call.request().requestId(),
            streamPace,
            attempt.endpointName(),
            attempt.answerHead().framing());
    attemptListener.onEvent(attempt.id(), AttemptEvent.ANSWERED);
  }

  @Override
  public void endpointCrashed(RelayAttempt attempt) {
    attemptListener.endpointCrashed(attempt.id());
  }

  @Override
  public void helperRefused(RelayAttempt attempt, HostIdentity helper) {
    attemptListener.helperRefused(attempt.id(), helper);
  }

  @Override
  public void stalled(RelayAttempt attempt) {
    attemptListener.onEvent(attempt.id(), AttemptEvent.STALLED);
  }

  @Override
  public void failed(RelayAttempt attempt, AttemptEvent event) {
    strayReceived |= event == AttemptEvent.STRAY_ANSWER;
    attemptListener.onEvent(attempt.id(), event);
  }

  @Override
  public void refuse(Refusal refusal) {
    if (finished) {
      return;
    }
    end(() -> sendRefusal(refusal));
  }

  private void sendRefusal(Refusal refusal) {
    if (failedAnswer != null && refusal.kind() == RefusalKind.ENDPOINT_FAILED) {
      sendAnswer(failedAnswer);
      return;
    }
    RelayRefusals.answer(response, relay.codec(), call.request().requestId(), refusal);
  }
}
