// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** The JSON messages of the chat-completions API that client libraries use. */
public final class ChatMessages {
  private ChatMessages() {}

  /** A caller's request; contains only the fields that the system uses. */
  public record ChatRequest(
      String model,
      List<ChatMessage> messages,
      Boolean stream,
      @JsonProperty("max_tokens") Long maxTokens,
      @JsonProperty("max_completion_tokens") Long maxCompletionTokens) {
    /** Whether the caller requests a streamed answer. */
    public boolean streamed() {
      return Boolean.TRUE.equals(stream);
    }
  }

  /** A message; its content is text or a list of parts. */
  public record ChatMessage(String role, JsonNode content) {
    /** Returns the text of the content, with parts concatenated; empty if there is none. */
    public String text() {
      if (content == null || content.isNull()) {
        return "";
      }
      if (content.isTextual()) {
        return content.textValue();
      }
      StringBuilder text = new StringBuilder();
      for (JsonNode part : content) {
        text.append(part.path("text").asText(""));
      }
      return text.toString();
    }
  }

  /** A chunk of a streamed answer. */
  public record Chunk(
      String id, String object, long created, String model, List<ChunkChoice> choices) {}

  /** The only choice of a chunk. */
  public record ChunkChoice(
      int index, Delta delta, @JsonProperty("finish_reason") String finishReason) {}

  /** The content that a chunk adds. */
  public record Delta(String role, String content) {}

  /** A complete answer. */
  public record Completion(
      String id,
      String object,
      long created,
      String model,
      List<CompletionChoice> choices,
      Usage usage) {}

  /** The only choice of a complete answer. */
  public record CompletionChoice(
      int index, Answer message, @JsonProperty("finish_reason") String finishReason) {}

  /** The message of a complete answer. */
  public record Answer(String role, String content) {}

  /** Token counts of a request. */
  public record Usage(
      @JsonProperty("prompt_tokens") long promptTokens,
      @JsonProperty("completion_tokens") long completionTokens,
      @JsonProperty("total_tokens") long totalTokens) {}

  /** An error body in the format that client libraries parse. */
  public record ErrorBody(ErrorDetail error) {}

  /** Details of an error. */
  public record ErrorDetail(
      String message,
      String type,
      String code,
      String param,
      @JsonProperty("request_id") String requestId,
      String ran,
      @JsonProperty("retry_after_ms") Long retryAfterMs) {}
}
