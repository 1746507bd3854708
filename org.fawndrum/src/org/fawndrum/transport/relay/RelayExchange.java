// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.BooleanSupplier;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.Exchange;

/**
 * One relayed request on its way. A plain answer is held until it is whole; a stream is passed on
 * event by event, and goes on after a failure at the event where it stopped. Confined to one event
 * loop.
 */
final class RelayExchange implements Exchange, AttemptOwner {
  private final RelayCall call;
  private final HttpServerResponse response;
  private final BooleanSupplier callerLeft;
  private final Context context;
  private final RelayTools tools;
  private final RelayIntake.Attempts attempts;
  private final StreamPace pace = new StreamPace();
  private RelayAttempt current;
  private RelayAttempt answering;
  private WholeAnswer failure;
  private long lastEventId;
  private boolean handedOver;
  private boolean over;

  /** An endpoint's answer with its whole body. */
  record WholeAnswer(int status, MultiMap headers, Buffer body) {}

  RelayExchange(
      RelayCall call,
      HttpServerResponse response,
      BooleanSupplier callerLeft,
      Context context,
      RelayTools tools,
      RelayIntake.Attempts attempts) {
    this.call = call;
    this.response = response;
    this.callerLeft = callerLeft;
    this.context = context;
    this.tools = tools;
    this.attempts = attempts;
    this.lastEventId = call.request().lastEventId();
  }

  @Override
  public void onLoop(Runnable step) {
    context.runOnContext(v -> step.run());
  }

  @Override
  public void send(Action.Send send) {
    if (over || callerLeft.getAsBoolean()) {
      attempts.happened(send.attempt(), AttemptEvent.CONNECT_FAILED);
      return;
    }
    PromptMemory memory =
        new PromptMemory(
            tools.clock(),
            (ms, step) -> context.owner().setTimer(ms, id -> step.run()),
            tools.orders(),
            send.attempt(),
            send.helpers(),
            tools.log());
    current = new RelayAttempt(send, call, lastEventId, tools, memory, this);
    current.start();
  }

  @Override
  public void cancel(Action.Cancel cancel) {
    if (current != null && current.isOf(cancel.attempt())) {
      current.cancel();
    }
  }

  @Override
  public boolean everHandedOver() {
    return handedOver;
  }

  @Override
  public void handedOver() {
    handedOver = true;
  }

  @Override
  public void whole(RelayAttempt attempt, WholeAnswer answer) {
    if (!isAwaited(attempt)) {
      return;
    }
    if (answer.status() >= RelayAttempt.LOWEST_FAILURE && call.route().repeatable()) {
      failure = answer;
      attempts.happened(attempt.id(), AttemptEvent.FAILED_BY_ENDPOINT);
      return;
    }
    over = true;
    deliver(answer);
    attempts.happened(attempt.id(), AttemptEvent.ANSWERED);
  }

  /** Tells whether what an attempt brings still goes to the caller. */
  private boolean isAwaited(RelayAttempt attempt) {
    return !over && attempt == current;
  }

  /** Prepares the head of a stream's answer, unless an earlier attempt did. */
  private void beginAnswer(RelayAttempt attempt) {
    if (!response.headWritten()) {
      response.headers().addAll(tools.codec().forCaller(attempt.answerHeaders()));
      response.setStatusCode(attempt.answerStatus()).setChunked(true);
    }
  }

  private void deliver(WholeAnswer answer) {
    if (response.closed() || response.ended()) {
      return;
    }
    response.headers().addAll(tools.codec().forCaller(answer.headers()));
    response.setStatusCode(answer.status()).end(answer.body());
  }

  @Override
  public boolean event(RelayAttempt attempt, EventSplitter.StreamEvent event) {
    boolean known = event.id() <= lastEventId;
    if (!isAwaited(attempt) || known) {
      return true;
    }
    if (event.id() != lastEventId + 1) {
      return false;
    }
    beginAnswer(attempt);
    lastEventId = event.id();
    response.write(event.bytes());
    pace.event(tools.clock().nowMs());
    if (attempt != answering) {
      answering = attempt;
      attempts.happened(attempt.id(), AttemptEvent.ANSWERING);
    }
    return true;
  }

  @Override
  public void streamEnded(RelayAttempt attempt) {
    if (!isAwaited(attempt)) {
      return;
    }
    over = true;
    beginAnswer(attempt);
    response.end();
    tools.decisions().streamEnded(call.request().requestId(), pace, attempt.endpointName());
    attempts.happened(attempt.id(), AttemptEvent.ANSWERED);
  }

  @Override
  public void endpointEnded(RelayAttempt attempt) {
    attempts.endpointEnded(attempt.id());
  }

  @Override
  public void helperRefused(RelayAttempt attempt, HostIdentity helper) {
    attempts.helperRefused(attempt.id(), helper);
  }

  @Override
  public void stalled(RelayAttempt attempt) {
    attempts.happened(attempt.id(), AttemptEvent.STALLED);
  }

  @Override
  public void failed(RelayAttempt attempt, AttemptEvent event) {
    attempts.happened(attempt.id(), event);
  }

  @Override
  public void refuse(Refusal refusal) {
    if (over) {
      return;
    }
    over = true;
    if (response.ended() || response.closed()) {
      return;
    }
    if (response.headWritten()) {
      // A stream that stops without its end mark never looks whole.
      response.reset();
      return;
    }
    if (failure != null && refusal.kind() == RefusalKind.ENDPOINT_FAILED) {
      deliver(failure);
      return;
    }
    RelayRefusals.answer(response, tools.codec(), call.request().requestId(), refusal);
  }
}
