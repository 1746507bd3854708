// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.protocol.ChatMessages.Answer;
import org.fawndrum.protocol.ChatMessages.Chunk;
import org.fawndrum.protocol.ChatMessages.ChunkChoice;
import org.fawndrum.protocol.ChatMessages.Completion;
import org.fawndrum.protocol.ChatMessages.CompletionChoice;
import org.fawndrum.protocol.ChatMessages.Delta;
import org.fawndrum.protocol.ChatMessages.Usage;
import org.fawndrum.protocol.Json;

/** Writes an answer in the chat-completions form, as server-sent events or whole. */
final class ChatAnswerWriter {
  private static final long MS_PER_SECOND = 1000;
  private static final String STOP = "stop";

  private final HttpServerResponse response;
  private final RequestFacts facts;
  private final boolean streamed;
  private final StringBuilder whole = new StringBuilder();
  private boolean begun;

  ChatAnswerWriter(HttpServerResponse response, RequestFacts facts, boolean streamed) {
    this.response = response;
    this.facts = facts;
    this.streamed = streamed;
  }

  /** Writes pieces of the answer, or keeps them when it is wanted whole. */
  void write(List<String> pieces) {
    if (!streamed) {
      pieces.forEach(whole::append);
      return;
    }
    StringBuilder events = new StringBuilder();
    if (!begun) {
      begin();
      events.append(event(new Delta("assistant", ""), null));
    }
    pieces.forEach(piece -> events.append(event(new Delta(null, piece), null)));
    response.write(events.toString());
  }

  private void begin() {
    begun = true;
    response
        .setChunked(true)
        .putHeader("content-type", "text/event-stream")
        .putHeader("cache-control", "no-cache")
        .putHeader("x-request-id", facts.requestId());
  }

  private String event(Delta delta, String finishReason) {
    Chunk chunk =
        new Chunk(
            facts.requestId(),
            "chat.completion.chunk",
            facts.arrivedMs() / MS_PER_SECOND,
            facts.target().name(),
            List.of(new ChunkChoice(0, delta, finishReason)));
    return "data: " + Json.write(chunk) + "\n\n";
  }

  /** Writes the end of a whole answer of {@code count} tokens. */
  void end(long count) {
    if (response.ended() || response.closed()) {
      return;
    }
    if (streamed) {
      if (!begun) {
        begin();
      }
      response.end(event(new Delta(null, null), STOP) + "data: [DONE]\n\n");
      return;
    }
    Completion completion =
        new Completion(
            facts.requestId(),
            "chat.completion",
            facts.arrivedMs() / MS_PER_SECOND,
            facts.target().name(),
            List.of(new CompletionChoice(0, new Answer("assistant", whole.toString()), STOP)),
            new Usage(facts.promptTokens(), count, facts.promptTokens() + count));
    response
        .putHeader("content-type", "application/json")
        .putHeader("x-request-id", facts.requestId())
        .end(Json.write(completion));
  }
}
