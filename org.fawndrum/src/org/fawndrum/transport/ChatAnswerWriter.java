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

/** Writes a chat completion, as server-sent events or as one JSON body. */
final class ChatAnswerWriter {
  private static final long MS_PER_SECOND = 1000;
  private static final String STOP = "stop";

  private final HttpServerResponse response;
  private final RequestFacts facts;
  private final boolean streamed;
  private final StringBuilder text = new StringBuilder();
  private boolean started;

  ChatAnswerWriter(HttpServerResponse response, RequestFacts facts, boolean streamed) {
    this.response = response;
    this.facts = facts;
    this.streamed = streamed;
  }

  /** Writes chunks of the answer, or buffers them when the caller did not ask for a stream. */
  void write(List<String> chunks) {
    if (!streamed) {
      chunks.forEach(text::append);
      return;
    }
    StringBuilder events = new StringBuilder();
    if (!started) {
      start();
      events.append(event(new Delta("assistant", ""), null));
    }
    chunks.forEach(chunk -> events.append(event(new Delta(null, chunk), null)));
    response.write(events.toString());
  }

  private void start() {
    started = true;
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

  /** Completes an answer of {@code count} tokens. */
  void end(long count) {
    if (response.ended() || response.closed()) {
      return;
    }
    if (streamed) {
      if (!started) {
        start();
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
            List.of(new CompletionChoice(0, new Answer("assistant", text.toString()), STOP)),
            new Usage(facts.promptTokens(), count, facts.promptTokens() + count));
    response
        .putHeader("content-type", "application/json")
        .putHeader("x-request-id", facts.requestId())
        .end(Json.write(completion));
  }
}
