// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.RequestAims;
import org.fawndrum.state.RouteKind;

/**
 * One sending of a request to one endpoint. It ends with exactly one report to its owner, unless it
 * is cancelled. Confined to its owner's event loop.
 */
final class RelayAttempt {
  /** The lowest status of a failure on the endpoint's side. */
  static final int LOWEST_FAILURE = 500;

  private static final int LOWEST_SUCCESS = 200;
  private static final int ABOVE_SUCCESS = 300;

  /** The priority of the most urgent requests; their urgency is 0. */
  private static final int HIGHEST_PRIORITY = 9;

  private final Action.Send send;
  private final RelayCall call;
  private final long lastEventId;
  private final RelayTools tools;
  private final PromptMemory memory;
  private final AttemptOwner owner;
  private final EngineLiveness liveness;
  private HttpClientRequest request;
  private HttpClientResponse answer;
  private long progressMs;
  private boolean begun;
  private boolean stallReported;
  private boolean askingWhatIsLeft;
  private boolean ended;

  RelayAttempt(
      Action.Send send,
      RelayCall call,
      long lastEventId,
      RelayTools tools,
      PromptMemory memory,
      AttemptOwner owner) {
    this.send = send;
    this.call = call;
    this.lastEventId = lastEventId;
    this.tools = tools;
    this.memory = memory;
    this.owner = owner;
    this.liveness =
        new EngineLiveness(this::probe, tools.clock(), memory::neededAt, this::engineDead);
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

  int answerStatus() {
    return answer.statusCode();
  }

  MultiMap answerHeaders() {
    return answer.headers();
  }

  /** Sets memory aside where it is needed, then connects and sends. */
  void start() {
    memory
        .reserve()
        .onComplete(
            held -> {
              if (held.succeeded()) {
                connect();
              } else {
                // The engine that did not answer is at fault, not the one that was to be asked.
                memory.unreachable().ifPresent(helper -> owner.helperRefused(this, helper));
                fail(AttemptEvent.CONNECT_FAILED);
              }
            });
  }

  private void connect() {
    if (ended) {
      return;
    }
    tools
        .client()
        .request(send.endpoint(), call.method(), call.uri(), call.route().repeatable())
        .onComplete(
            connected -> {
              if (connected.succeeded()) {
                connected(connected.result());
              } else {
                fail(AttemptEvent.CONNECT_FAILED);
              }
            });
  }

  /** Returns when something last came from the endpoint, by the host's clock. */
  long progressMs() {
    return progressMs;
  }

  /** Tells whether a first event came. */
  boolean begun() {
    return begun;
  }

  RequestAims aims() {
    return call.route().aims();
  }

  boolean repeatable() {
    return call.route().repeatable();
  }

  boolean holdsMemory() {
    return memory.held();
  }

  /** Returns how long ago the endpoint last gave a sign of life, in milliseconds. */
  long silentMs() {
    return liveness.silentMs();
  }

  /** Tells whether its endpoint is an engine on whose life anything depends besides its events. */
  boolean engineMatters() {
    boolean engine = send.endpoint().kind() == EndpointKind.MODEL;
    boolean silenceSaysNothing = !begun && StallWatch.mayBeLong(aims());
    return engine && (silenceSaysNothing || memory.held());
  }

  /** Has the engine probed if it is silent and anything depends on its life. */
  void checkEngine() {
    if (engineMatters()) {
      liveness.probeIfSilent();
    }
  }

  /** Asks whether the engine lives, and those that hold memory whether it is still used. */
  private Future<Void> probe() {
    return memory.stillUsed(tools.orders().report(send.endpoint()));
  }

  private void engineDead(Throwable why) {
    tools
        .decisions()
        .engineSilent(call.request().requestId(), endpointName(), liveness.silentMs(), why);
    abandon();
  }

  /**
   * Reports that nothing comes any more; another attempt may take the place of this one, which is
   * then cancelled. Until then it goes on, and its engine is asked whether it lives.
   */
  void stalled() {
    if (!stallReported) {
      stallReported = true;
      owner.stalled(this);
    }
    if (send.endpoint().kind() == EndpointKind.MODEL) {
      liveness.suspect();
    }
  }

  /** Ends the attempt because nobody waits for it any more; its owner hears nothing. */
  void cancel() {
    end();
    if (request != null) {
      request.reset();
    }
  }

  private void connected(HttpClientRequest ready) {
    if (ended) {
      ready.reset();
      return;
    }
    if (tools.rests().lasts(send.endpoint().identity(), tools.clock().nowMs())) {
      // The endpoint was chosen before it asked for rest; the connection took until after that.
      ready.reset();
      fail(AttemptEvent.ENDPOINT_RESTS);
      return;
    }
    request = ready;
    request.headers().addAll(tools.codec().forEndpoint(call.headers(), sending()));
    request.exceptionHandler(cause -> connectionLost());
    owner.handedOver();
    progressMs = tools.clock().nowMs();
    liveness.heard();
    if (repeatable() || memory.held()) {
      tools.stalls().add(this);
    }
    request
        .send(call.body())
        .onComplete(
            head -> {
              if (head.succeeded()) {
                answered(head.result());
              } else {
                connectionLost();
              }
            });
  }

  private RelayCodec.Sending sending() {
    return new RelayCodec.Sending(
        send.endpoint(),
        call.workspace().name(),
        Math.max(1, send.deadlineMs() - tools.clock().nowMs()),
        HIGHEST_PRIORITY - send.priority(),
        lastEventId,
        memory.helpers());
  }

  private void answered(HttpClientResponse head) {
    String requestId = call.request().requestId();
    RelayCodec.Answer kind = tools.codec().answer(head.statusCode(), head.headers(), requestId);
    hearNotice(kind, head);
    if (ended) {
      return;
    }
    answer = head;
    liveness.heard();
    head.exceptionHandler(cause -> connectionLost());
    switch (kind) {
      case NOT_RUN, OTHER_ENDPOINT -> refused(head.headers());
      case FOREIGN -> abandon();
      default -> {
        boolean success = isSuccess(head.statusCode());
        if (success && call.route().kind() == RouteKind.STREAM) {
          readEvents(head);
        } else {
          readWhole(head);
        }
      }
    }
  }

  /** Hands on what the endpoint says about itself, also where nobody waits for its answer. */
  private void hearNotice(RelayCodec.Answer kind, HttpClientResponse head) {
    boolean its = kind == RelayCodec.Answer.OWN || kind == RelayCodec.Answer.NOT_RUN;
    EndpointNotice notice =
        its ? tools.codec().notice(head.statusCode(), head.headers()) : EndpointNotice.NONE;
    if (!notice.equals(EndpointNotice.NONE)) {
      tools.notices().heard(send.endpoint().identity(), notice);
    }
  }

  private void refused(MultiMap headers) {
    if (!ended) {
      tools
          .codec()
          .endpointAtFault(headers)
          .flatMap(this::helperNamed)
          .ifPresent(helper -> owner.helperRefused(this, helper));
    }
    fail(AttemptEvent.REFUSED_BY_ENDPOINT);
  }

  private Optional<HostIdentity> helperNamed(String nameOrAddress) {
    return send.helpers().stream()
        .map(Action.Helper::endpoint)
        .filter(
            endpoint ->
                endpoint.name().equals(nameOrAddress)
                    || endpoint.address().toString().equals(nameOrAddress))
        .map(Endpoint::identity)
        .findFirst();
  }

  private static boolean isSuccess(int status) {
    return status >= LOWEST_SUCCESS && status < ABOVE_SUCCESS;
  }

  /** Ends a connection on which nothing can be trusted any more. */
  private void abandon() {
    request.reset();
    fail(AttemptEvent.LOST);
  }

  /**
   * Fails the attempt, and first finds out whether the endpoint ended or only the connection did:
   * the one says something about the request, the other does not. A live endpoint answers that
   * within a millisecond or two.
   */
  private void connectionLost() {
    if (ended || askingWhatIsLeft) {
      return;
    }
    askingWhatIsLeft = true;
    tools
        .client()
        .refuses(send.endpoint())
        .onComplete(
            refuses -> {
              boolean gone = refuses.succeeded() && refuses.result();
              if (gone && !ended) {
                tools.decisions().endpointEnded(call, send.endpoint());
                owner.endpointEnded(this);
              }
              fail(AttemptEvent.LOST);
            });
  }

  private void readWhole(HttpClientResponse head) {
    head.body()
        .onComplete(
            body -> {
              if (body.succeeded()) {
                endWhole(head, body.result());
              } else {
                connectionLost();
              }
            });
  }

  private void endWhole(HttpClientResponse head, Buffer body) {
    if (!ended) {
      end();
      owner.whole(this, new RelayExchange.WholeAnswer(head.statusCode(), head.headers(), body));
    }
  }

  private void readEvents(HttpClientResponse head) {
    EventSplitter splitter = new EventSplitter();
    head.handler(piece -> pass(splitter.take(piece)));
    head.endHandler(
        v -> {
          if (!ended) {
            endStream(splitter.midEvent());
          }
        });
  }

  private void endStream(boolean midEvent) {
    if (midEvent) {
      abandon();
      return;
    }
    end();
    owner.streamEnded(this);
  }

  private void pass(List<EventSplitter.StreamEvent> events) {
    if (!events.isEmpty()) {
      progressMs = tools.clock().nowMs();
      liveness.heard();
      memory.begun();
      begun = true;
      stallReported = false;
    }
    for (EventSplitter.StreamEvent event : events) {
      if (ended) {
        return;
      }
      if (!owner.event(this, event)) {
        abandon();
      }
    }
  }

  private void fail(AttemptEvent event) {
    if (!ended) {
      end();
      owner.failed(this, event);
    }
  }

  private void end() {
    ended = true;
    tools.stalls().remove(this);
    liveness.end();
    if (memory.held()) {
      tools.decisions().memoryFreed(call.request().requestId(), endpointName(), memory.usage());
    }
    memory.free();
  }
}
