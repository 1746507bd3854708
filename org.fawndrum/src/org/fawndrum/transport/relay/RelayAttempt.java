// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.LatencyTargets;
import org.fawndrum.state.RouteKind;
import org.fawndrum.transport.proxy.EndpointAnswer;
import org.fawndrum.transport.proxy.EndpointRequest;

/**
 * One attempt to run a request on one endpoint. It reports exactly one outcome to its owner, unless
 * it is cancelled. Confined to its owner's event loop.
 */
final class RelayAttempt implements AnswerReader.Receiver {
  /** The highest priority; it corresponds to urgency 0. */
  private static final int MAX_PRIORITY = 9;

  private final Action.Send send;
  private final RelayCall call;
  private final long lastEventId;
  private final RelayContext relay;
  private final PromptMemory memory;
  private final AttemptOwner owner;
  private final EngineLiveness liveness;
  private final AttemptPath path;
  private final AnswerOrigin origin;
  private final AnswerEnd end;
  private final AttemptProgress progress;
  private EndpointRequest request;
  private EndpointAnswer response;
  private BodyWriter bodyWriter;
  private AnswerReader answer;
  private boolean hasFirstEvent;
  private boolean stallReported;
  private boolean finished;

  RelayAttempt(
      Action.Send send,
      RelayCall call,
      long lastEventId,
      AttemptPath path,
      RelayContext relay,
      PromptMemory memory,
      AttemptOwner owner) {
    this.send = send;
    this.call = call;
    this.lastEventId = lastEventId;
    this.relay = relay;
    this.memory = memory;
    this.owner = owner;
    this.path = path;
    this.origin = new AnswerOrigin(relay.codec(), relay.decisionLog(), call, send.endpoint());
    this.end =
        new AnswerEnd(path, relay.decisionLog().ends(call), this::brokenOff, this::lostBecause);
    this.progress = new AttemptProgress(relay.clock());
    this.liveness =
        new EngineLiveness(this::probe, relay.clock(), memory::renewOnEvidence, this::engineFailed);
  }

  AttemptId id() {
    return send.attempt();
  }

  boolean isOf(AttemptId attempt) {
    return send.attempt().equals(attempt);
  }

  String endpointName() {
    return send.endpoint().name();
  }

  boolean isAtEngine() {
    return send.endpoint().kind() == EndpointKind.MODEL;
  }

  EndpointAnswer answerHead() {
    return response;
  }

  /** Reserves memory if needed, then connects and sends. */
  void start() {
    progress.started();
    AttemptEvent obstacle = send.helpers().isEmpty() ? null : relay.notices().obstacle(send);
    if (obstacle != null) {
      fail(obstacle);
      return;
    }
    memory
        .reserve()
        .onComplete(
            reservation -> {
              if (reservation.succeeded()) {
                connect();
              } else {
                // The helper engine that did not answer is at fault, not this attempt's endpoint.
                memory
                    .unreachable()
                    .filter(helper -> !relay.paths().isLinkLost(helper))
                    .ifPresent(helper -> owner.helperRefused(this, helper));
                fail(AttemptEvent.CONNECT_FAILED);
              }
            });
  }

  private void connect() {
    if (finished) {
      return;
    }
    path.open(call, remainingMs())
        .onSuccess(this::connected)
        .onFailure(cause -> fail(AttemptPath.notOpened(cause)));
  }

  private long remainingMs() {
    return Math.max(1, send.deadlineMs() - relay.clock().nowMs());
  }

  AttemptProgress progress() {
    return progress;
  }

  boolean hasFirstEvent() {
    return hasFirstEvent;
  }

  LatencyTargets latencyTargets() {
    return call.route().latencyTargets();
  }

  boolean repeatable() {
    return call.route().repeatable();
  }

  boolean hasReservedMemory() {
    return memory.isReserved();
  }

  /** Returns the time since the endpoint's last sign of life, in milliseconds. */
  long silentMs() {
    return liveness.silentMs();
  }

  /** Returns whether the endpoint is an engine to be probed even if no event is overdue. */
  boolean dependsOnEngine() {
    boolean silenceExpected = !hasFirstEvent && StallWatch.isFirstEventUnlimited(latencyTargets());
    return isAtEngine() && (silenceExpected || memory.isReserved());
  }

  /**
   * Probes the engine if it is silent and this attempt depends on it.
   *
   * @param enginesLate whether engines are usually late now, so that silence proves nothing
   */
  void probeEngineIfSilent(boolean enginesLate) {
    if (dependsOnEngine() || enginesLate && isAtEngine()) {
      liveness.probeIfSilent();
    }
  }

  /** Checks that the engine is alive, and that helper engines' memory is still in use. */
  private Future<Void> probe() {
    return memory.checkStillUsed(relay.engineControl().report(send.endpoint()));
  }

  private void engineFailed(Throwable why) {
    relay
        .decisionLog()
        .engineSilent(call.request().requestId(), endpointName(), liveness.silentMs(), why);
    abandon();
  }

  /**
   * Reports that the attempt is stalled; another one may replace it, which cancels this one. Until
   * then it continues, and its engine is probed.
   */
  void stalled() {
    if (!stallReported) {
      stallReported = true;
      relay.decisionLog().attemptFailed(call, endpointName(), AttemptEvent.STALLED, progress);
      owner.stalled(this);
    }
    if (isAtEngine()) {
      liveness.probeOverdue();
    }
  }

  /** Ends the attempt because its result is no longer needed; the owner is not notified. */
  void cancel() {
    finish();
    if (request != null) {
      request.reset();
    }
  }

  private void connected(EndpointRequest connectedRequest) {
    // The attempt may have ended, or an obstacle arisen, while the connection was established.
    AttemptEvent obstacle = finished ? null : relay.notices().obstacle(send);
    if (finished || obstacle != null) {
      connectedRequest.reset();
      fail(obstacle);
      return;
    }
    request = connectedRequest;
    request.headers().addAll(relay.codec().endpointHeaders(call.headers(), sending()));
    request.onLost(end::lost);
    owner.handedOver();
    relay.notices().requestSent(send.endpoint().identity());
    progress.opened();
    liveness.recordActivity();
    if (repeatable() || memory.isReserved()) {
      relay.stallWatch().add(this);
    }
    bodyWriter =
        new BodyWriter(request.body(), request.headers(), call.body(), call.held()::bodyBlocked);
    bodyWriter.write();
    request.answer().onSuccess(this::headReceived).onFailure(end::lost);
  }

  private RelayCodec.Sending sending() {
    return new RelayCodec.Sending(
        send.endpoint(),
        call.workspace().name(),
        remainingMs(),
        MAX_PRIORITY - send.priority(),
        lastEventId,
        memory.helpers());
  }

  private void headReceived(EndpointAnswer head) {
    RelayCodec.Answer kind = origin.kindOf(head, path);
    forwardNotice(kind, head);
    if (finished) {
      return;
    }
    response = head;
    recordActivity();
    head.body().exceptionHandler(end::lost);
    switch (kind) {
      case NOT_RUN, WRONG_ENDPOINT -> refusedByEndpoint(head.headers());
      case MISMATCHED -> abandon();
      default -> {
        if (owner.continues(head)) {
          relay.decisionLog().answerBegun(head.framing());
          answer = new AnswerReader(head, call.held(), relay.codec(), end, this);
          answer.read(call.method(), call.route().kind() == RouteKind.STREAM);
        } else {
          request.reset();
          fail(AttemptEvent.FAILED_BY_ENDPOINT);
        }
      }
    }
  }

  /** Forwards a notice of the endpoint, even if its answer is no longer needed. */
  private void forwardNotice(RelayCodec.Answer kind, EndpointAnswer head) {
    boolean trusted = kind == RelayCodec.Answer.VALID || kind == RelayCodec.Answer.NOT_RUN;
    if (trusted) {
      EndpointNotice notice = relay.codec().readNotice(head.statusCode(), head.headers());
      relay.notices().answered(send.endpoint().identity(), notice, progress.lastProgressMs());
    }
  }

  private void refusedByEndpoint(MultiMap headers) {
    relay
        .codec()
        .endpointAtFault(headers)
        .flatMap(send::helper)
        .ifPresent(helper -> owner.helperRefused(this, helper));
    fail(AttemptEvent.REFUSED_BY_ENDPOINT);
  }

  private void recordActivity() {
    liveness.recordActivity();
    path.heard();
  }

  AttemptPath path() {
    return path;
  }

  /** Fails the attempt because nothing reliable arrives on its connection. */
  private void abandon() {
    request.reset();
    fail(path.abandoned());
  }

  /** Drops what arrives from now on; why the answer was lost is determined meanwhile. */
  private void brokenOff(Throwable cause) {
    if (answer != null) {
      answer.stop();
    }
    EndpointAnswer head = answer == null ? null : response;
    relay.decisionLog().answerBrokenOff(call, send.endpoint(), head, cause);
  }

  private void lostBecause(EndpointPaths.Loss loss) {
    if (loss == EndpointPaths.Loss.ENDPOINT_ENDED) {
      relay.decisionLog().endpointCrashed(call, send.endpoint(), hasFirstEvent);
      owner.endpointCrashed(this);
    }
    fail(loss == EndpointPaths.Loss.PATH ? AttemptEvent.PATH_LOST : AttemptEvent.LOST);
  }

  @Override
  public void wholeReceived(Buffer body) {
    end.ended(response.framing(), () -> answered(body));
  }

  private void answered(Buffer body) {
    finish();
    owner.answered(this, RelayExchange.FullAnswer.of(response, body));
  }

  @Override
  public void streamEnded() {
    end.ended(response.framing(), this::streamCompleted);
  }

  private void streamCompleted() {
    finish();
    owner.streamCompleted(this);
  }

  @Override
  public void eventsReceived(List<EventSplitter.StreamEvent> events) {
    if (!events.isEmpty()) {
      relay.stallWatch().answerBegins(this);
      progress.progressed();
      recordActivity();
      memory.answerStarted();
      hasFirstEvent = true;
      stallReported = false;
    }
    for (EventSplitter.StreamEvent event : events) {
      if (finished) {
        return;
      }
      if (!owner.eventReceived(this, event)) {
        abandon();
      }
    }
  }

  @Override
  public void answerUnusable() {
    abandon();
  }

  /** Stops reading the answer, because the caller does not read it. */
  void pause() {
    answer.pause();
  }

  /** Reads the answer again. The time until now tells nothing about the endpoint. */
  void resume() {
    if (answer.resume()) {
      progress.progressed();
      liveness.recordActivity();
    }
  }

  /** Returns whether the answer is not being read, so that the endpoint cannot send. */
  boolean paused() {
    return answer != null && answer.paused();
  }

  private void fail(AttemptEvent event) {
    if (!finished) {
      relay.decisionLog().attemptFailed(call, endpointName(), event, progress);
      finish();
      owner.failed(this, event);
    }
  }

  private void finish() {
    finished = true;
    end.stop();
    if (answer != null) {
      answer.stop();
    }
    if (bodyWriter != null && bodyWriter.stop()) {
      request.reset();
    }
    relay.stallWatch().remove(this);
    liveness.stop();
    if (memory.isReserved()) {
      relay
          .decisionLog()
          .memoryReleased(call.request().requestId(), endpointName(), memory.usage());
    }
    memory.release();
  }
}
