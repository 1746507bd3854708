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

/** A chat request on its way: attempts on engines in, one whole answer or a typed failure out. */
final class ChatExchange implements Exchange, EngineStream.Listener {
  private final RequestFacts facts;
  private final String prompt;
  private final HttpServerResponse response;
  private final Context context;
  private final EngineCalls engines;
  private final AttemptListener attempts;
  private final StreamTimes times;
  private final ChatAnswerWriter writer;
  private final AnswerAssembler assembler = new AnswerAssembler();
  private EngineStream stream;
  private Action.Send sent;
  private boolean over;
  private boolean answering;
  private boolean handedOver;

  ChatExchange(
      RequestFacts facts,
      String prompt,
      boolean streamed,
      HttpServerResponse response,
      Context context,
      EngineCalls engines,
      AttemptListener attempts,
      StreamTimes times) {
    this.facts = facts;
    this.prompt = prompt;
    this.response = response;
    this.context = context;
    this.engines = engines;
    this.attempts = attempts;
    this.times = times;
    this.writer = new ChatAnswerWriter(response, facts, streamed);
  }

  @Override
  public void onLoop(Runnable step) {
    context.runOnContext(v -> step.run());
  }

  @Override
  public void send(Action.Send send) {
    if (over) {
      attempts.happened(send.attempt(), AttemptEvent.CONNECT_FAILED);
      return;
    }
    sent = send;
    answering = false;
    assembler.begin(send.attempt());
    handedOver = everHandedOver();
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
    boolean own = sent.attempt().toString().equals(event.attempt());
    AttemptId attempt = own ? sent.attempt() : null;
    if (attempt == null) {
      return;
    }
    if (event.failed() != null) {
      endAttempt(AttemptEvent.FAILED_BY_ENDPOINT);
      return;
    }
    boolean isEnd = event.count() != null;
    if (!isEnd && event.at() == null) {
      cut();
      return;
    }
    AnswerAssembler.Result result =
        isEnd
            ? assembler.end(attempt, event.count())
            : assembler.chunk(attempt, event.at(), event.text() == null ? "" : event.text());
    take(result);
  }

  private void take(AnswerAssembler.Result result) {
    List<String> ready = assembler.takeReady();
    if (!ready.isEmpty()) {
      firstOfAttempt();
      times.tokens(facts, ready.size());
      writer.write(ready);
      pauseIfFull();
    }
    if (result == AnswerAssembler.Result.WHOLE) {
      over = true;
      stream.end();
      attempts.happened(sent.attempt(), AttemptEvent.ANSWERED);
      writer.end(assembler.position());
    } else if (result == AnswerAssembler.Result.CUT) {
      cut();
    }
  }

  private void firstOfAttempt() {
    if (!answering) {
      answering = true;
      attempts.happened(sent.attempt(), AttemptEvent.ANSWERING);
    }
  }

  private void pauseIfFull() {
    if (response.writeQueueFull()) {
      EngineStream paused = stream;
      paused.pause();
      response.drainHandler(v -> paused.resume());
    }
  }

  private void cut() {
    stream.close();
    engines.cancel(sent.endpoint(), sent.attempt());
    endAttempt(AttemptEvent.LOST);
  }

  private void endAttempt(AttemptEvent event) {
    AttemptId attempt = sent.attempt();
    stream.end();
    assembler.abandon();
    attempts.happened(attempt, event);
  }

  @Override
  public void notRun() {
    endAttempt(AttemptEvent.REFUSED_BY_ENDPOINT);
  }

  @Override
  public void lost(boolean mayHaveLeft) {
    if (mayHaveLeft) {
      engines.cancel(sent.endpoint(), sent.attempt());
    }
    endAttempt(mayHaveLeft ? AttemptEvent.LOST : AttemptEvent.CONNECT_FAILED);
  }

  @Override
  public void cancel(Action.Cancel cancel) {
    if (stream == null || !cancel.attempt().equals(sent.attempt())) {
      return;
    }
    boolean mayHaveLeft = stream.handedOver();
    stream.close();
    assembler.abandon();
    if (mayHaveLeft) {
      engines.cancel(cancel.endpoint(), cancel.attempt());
    }
  }

  @Override
  public boolean everHandedOver() {
    return handedOver || stream != null && stream.handedOver();
  }

  @Override
  public void refuse(Refusal refusal) {
    if (over) {
      return;
    }
    over = true;
    CallerResponse.refuse(response, facts.requestId(), refusal);
  }
}
