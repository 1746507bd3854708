// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Context;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AnswerAssembler;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.protocol.EngineMessages.StreamEvent;
import org.fawndrum.protocol.EngineMessages.StreamOrder;

/**
 * A chat request in progress: runs attempts on engines and writes one complete answer or a refusal.
 * Confined to the event loop of its caller's connection.
 */
final class ChatExchange implements Exchange, EngineStream.Listener {
  private final RequestFacts facts;
  private final String prompt;
  private final HttpServerResponse response;
  private final Context context;
  private final EngineCalls engines;
  private final AttemptListener attemptListener;
  private final TokenListener tokenListener;
  private final ChatAnswerWriter writer;
  private final AnswerAssembler assembler = new AnswerAssembler();
  private EngineStream stream;
  private Action.Send current;
  private boolean completed;
  private boolean firstTokenReported;
  private boolean earlierRequestSent;

  ChatExchange(
      RequestFacts facts,
      String prompt,
      boolean streamed,
      HttpServerResponse response,
      Context context,
      EngineCalls engines,
      AttemptListener attemptListener,
      TokenListener tokenListener) {
    this.facts = facts;
    this.prompt = prompt;
    this.response = response;
    this.context = context;
    this.engines = engines;
    this.attemptListener = attemptListener;
    this.tokenListener = tokenListener;
    this.writer = new ChatAnswerWriter(response, facts, streamed);
  }

  @Override
  public void runOnLoop(Runnable step) {
    context.runOnContext(v -> step.run());
  }

  @Override
  public void send(Action.Send send) {
    if (completed) {
      attemptListener.onEvent(send.attempt(), AttemptEvent.CONNECT_FAILED);
      return;
    }
    current = send;
    firstTokenReported = false;
    assembler.begin(send.attempt());
    earlierRequestSent = anyRequestSent();
    stream = engines.stream(this);
    stream.start(send.endpoint().address(), order(send));
  }

  private StreamOrder order(Action.Send send) {
    AttemptId attempt = send.attempt();
    return new StreamOrder(
        attempt.toString(),
        facts.requestId(),
        attempt.owner().host(),
        attempt.owner().incarnation(),
        facts.target().name(),
        prompt,
        facts.promptTokens(),
        facts.answerTokens(),
        send.priority(),
        assembler.position(),
        facts.prefixes());
  }

  @Override
  public void event(StreamEvent event) {
    boolean isCurrent = current.attempt().toString().equals(event.attempt());
    AttemptId attempt = isCurrent ? current.attempt() : null;
    if (attempt == null) {
      return;
    }
    if (event.failed() != null) {
      endAttempt(AttemptEvent.FAILED_BY_ENDPOINT);
      return;
    }
    boolean isEnd = event.count() != null;
    if (!isEnd && event.at() == null) {
      abortAttempt();
      return;
    }
    AnswerAssembler.Result result =
        isEnd
            ? assembler.end(attempt, event.count())
            : assembler.chunk(attempt, event.at(), event.text() == null ? "" : event.text());
    handleResult(result);
  }

  private void handleResult(AnswerAssembler.Result result) {
    List<String> ready = assembler.takeReady();
    if (!ready.isEmpty()) {
      reportFirstToken();
      tokenListener.tokensForwarded(facts, ready.size());
      writer.write(ready);
      pauseIfFull();
    }
    if (result == AnswerAssembler.Result.COMPLETE) {
      completed = true;
      stream.end();
      attemptListener.onEvent(current.attempt(), AttemptEvent.ANSWERED);
      writer.end(assembler.position());
    } else if (result == AnswerAssembler.Result.TRUNCATED) {
      abortAttempt();
    }
  }

  private void reportFirstToken() {
    if (!firstTokenReported) {
      firstTokenReported = true;
      attemptListener.onEvent(current.attempt(), AttemptEvent.ANSWERING);
    }
  }

  private void pauseIfFull() {
    if (response.writeQueueFull()) {
      EngineStream paused = stream;
      paused.pause();
      response.drainHandler(v -> paused.resume());
    }
  }

  private void abortAttempt() {
    stream.close();
    engines.cancel(current.endpoint(), current.attempt());
    endAttempt(AttemptEvent.LOST);
  }

  private void endAttempt(AttemptEvent event) {
    AttemptId attempt = current.attempt();
    stream.end();
    assembler.abandon();
    attemptListener.onEvent(attempt, event);
  }

  @Override
  public void notRun() {
    endAttempt(AttemptEvent.REFUSED_BY_ENDPOINT);
  }

  @Override
  public void failed(boolean mayHaveBeenSent) {
    if (mayHaveBeenSent) {
      engines.cancel(current.endpoint(), current.attempt());
    }
    endAttempt(mayHaveBeenSent ? AttemptEvent.LOST : AttemptEvent.CONNECT_FAILED);
  }

  @Override
  public void cancel(Action.Cancel cancel) {
    if (stream == null || !cancel.attempt().equals(current.attempt())) {
      return;
    }
    boolean mayHaveBeenSent = stream.requestSent();
    stream.close();
    assembler.abandon();
    if (mayHaveBeenSent) {
      engines.cancel(cancel.endpoint(), cancel.attempt());
    }
  }

  @Override
  public boolean anyRequestSent() {
    return earlierRequestSent || stream != null && stream.requestSent();
  }

  @Override
  public void refuse(Refusal refusal) {
    if (completed) {
      return;
    }
    completed = true;
    CallerResponse.refuse(response, facts.requestId(), refusal);
  }
}
