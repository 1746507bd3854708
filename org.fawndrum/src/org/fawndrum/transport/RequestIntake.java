// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.util.List;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.RequestTarget;
import org.fawndrum.errors.RefusedException;
import org.fawndrum.protocol.ChatMessages.ChatMessage;
import org.fawndrum.protocol.ChatMessages.ChatRequest;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.PromptMeasure;
import org.fawndrum.settings.LimitSettings;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.Row;

/** Validates complete requests of authenticated callers and queues them for the decision thread. */
final class RequestIntake implements CallerServer.Intake {
  /** Request header with a deadline set by the caller, in milliseconds after arrival. */
  static final String DEADLINE_HEADER = "x-fawndrum-deadline-ms";

  private static final long DEFAULT_ANSWER_TOKENS = 256;
  private static final long MAX_ANSWER_TOKENS = 65_536;
  private static final long RETRY_AFTER_MS = 250;

  private final Vertx vertx;
  private final LimitSettings limits;
  private final HostClock clock;
  private final TableStore tables;
  private final DecisionDuty decisions;
  private final ExchangeFactory exchanges;

  RequestIntake(
      Vertx vertx,
      LimitSettings limits,
      HostClock clock,
      TableStore tables,
      DecisionDuty decisions,
      ExchangeFactory exchanges) {
    this.vertx = vertx;
    this.limits = limits;
    this.clock = clock;
    this.tables = tables;
    this.decisions = decisions;
    this.exchanges = exchanges;
  }

  @Override
  public void chat(CallerServer.Call call) {
    ChatRequest chat = parse(call);
    String prompt = text(chat.messages());
    long promptTokens = PromptMeasure.tokens(prompt);
    if (promptTokens > limits.promptTokens()) {
      throw refused(call, RefusalKind.PROMPT_TOO_LONG);
    }
    RequestFacts facts =
        new RequestFacts(
            call.requestId(),
            call.group(),
            new RequestTarget(EndpointKind.MODEL, chat.model()),
            promptTokens,
            answerTokens(call, chat),
            clock.nowMs(),
            requestedDeadlineMs(call),
            true,
            PromptMeasure.prefixes(prompt));
    Context context = vertx.getOrCreateContext();
    Exchange exchange = exchanges.chat(facts, prompt, chat.streamed(), call.response(), context);
    submit(call, facts, null, exchange);
  }

  @Override
  public void plain(CallerServer.Call call) {
    HttpServerRequest request = call.request();
    Row row = tables.table().row(call.group()).orElseThrow(() -> missingRow(call));
    String service =
        row.serviceFor(request.path()).orElseThrow(() -> refused(call, RefusalKind.NO_ROUTE));
    RequestFacts facts =
        new RequestFacts(
            call.requestId(),
            call.group(),
            new RequestTarget(EndpointKind.PLAIN, service),
            0,
            0,
            clock.nowMs(),
            requestedDeadlineMs(call),
            row.repeatable(),
            List.of());
    PlainExchange.PlainCall plain =
        new PlainExchange.PlainCall(
            request.method(), request.uri(), request.headers(), call.body());
    Context context = vertx.getOrCreateContext();
    HostEvent.ClaimInfo claim = row.repeatable() ? null : IdempotencyHeaders.claim(call);
    Exchange exchange = exchanges.plain(facts, plain, call.response(), context);
    submit(call, facts, claim, exchange);
  }

  private void submit(
      CallerServer.Call call, RequestFacts facts, HostEvent.ClaimInfo claim, Exchange exchange) {
    call.response()
        .closeHandler(
            v -> {
              // This handler also runs after a complete answer.
              if (!call.response().ended()) {
                decisions.offer(new HostEvent.CallerDisconnected(facts.requestId()));
              }
            });
    if (!decisions.arrived(new HostEvent.RequestArrived(facts, claim), exchange)) {
      throw new RefusedException(
          facts.requestId(), Refusal.of(RefusalKind.HOST_BUSY, Ran.NO, RETRY_AFTER_MS));
    }
  }

  private RefusedException missingRow(CallerServer.Call call) {
    return tables.table().revision() < 0
        ? new RefusedException(
            call.requestId(), Refusal.of(RefusalKind.NO_TABLE, Ran.NO, RETRY_AFTER_MS))
        : refused(call, RefusalKind.UNKNOWN_WORKSPACE);
  }

  private static RefusedException refused(CallerServer.Call call, RefusalKind kind) {
    return new RefusedException(call.requestId(), Refusal.notRun(kind));
  }

  private static ChatRequest parse(CallerServer.Call call) {
    try {
      ChatRequest chat = Json.read(call.body().getBytes(), ChatRequest.class);
      boolean complete =
          chat.model() != null
              && !chat.model().isBlank()
              && chat.messages() != null
              && !chat.messages().isEmpty()
              && !chat.messages().contains(null);
      if (complete) {
        return chat;
      }
    } catch (IOException e) {
      throw refused(call, RefusalKind.INVALID_REQUEST);
    }
    throw refused(call, RefusalKind.INVALID_REQUEST);
  }

  private static String text(List<ChatMessage> messages) {
    if (messages.size() == 1) {
      return messages.get(0).text();
    }
    StringBuilder text = new StringBuilder();
    messages.forEach(message -> text.append(message.text()).append('\n'));
    return text.toString();
  }

  private static long answerTokens(CallerServer.Call call, ChatRequest chat) {
    Long requested =
        chat.maxCompletionTokens() != null ? chat.maxCompletionTokens() : chat.maxTokens();
    if (requested == null) {
      return DEFAULT_ANSWER_TOKENS;
    }
    if (requested < 1 || requested > MAX_ANSWER_TOKENS) {
      throw refused(call, RefusalKind.INVALID_REQUEST);
    }
    return requested;
  }

  private static long requestedDeadlineMs(CallerServer.Call call) {
    String header = call.request().getHeader(DEADLINE_HEADER);
    if (header == null) {
      return 0;
    }
    try {
      long deadlineMs = Long.parseLong(header.strip());
      if (deadlineMs > 0) {
        return deadlineMs;
      }
    } catch (NumberFormatException e) {
      throw refused(call, RefusalKind.INVALID_REQUEST);
    }
    throw refused(call, RefusalKind.INVALID_REQUEST);
  }
}
