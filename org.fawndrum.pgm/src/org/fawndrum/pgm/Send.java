// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;
import org.fawndrum.protocol.ChatMessages.ChatMessage;
import org.fawndrum.protocol.ChatMessages.ChatRequest;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.PromptMeasure;
import org.kohsuke.args4j.Option;

/** Sends a request as a caller: a chat request with a generated prompt, or a plain request. */
final class Send extends Command {
  private static final int OK = 200;
  private static final String WORD = "fawn";

  @Option(name = "--callers", metaVar = "IP:PORT", usage = "the daemon's address for callers")
  private String callers = DaemonCommand.environment("FAWNDRUM_CALLERS", "127.0.0.1:7400");

  @Option(name = "--key", metaVar = "KEY", usage = "caller key (default: FAWNDRUM_CALLER_KEY)")
  private String key = DaemonCommand.environment("FAWNDRUM_CALLER_KEY", "");

  @Option(name = "--model", usage = "model of the chat request")
  private String model = "model-a";

  @Option(name = "--tokens", usage = "length of the prompt in tokens")
  private int tokens = 1_000;

  @Option(name = "--answer", usage = "maximum length of the answer in tokens")
  private long answer = 16;

  @Option(name = "--deadline-ms", usage = "deadline in milliseconds")
  private long deadlineMs;

  @Option(name = "--path", usage = "send a plain request to this path instead")
  private String path;

  @Option(name = "--idempotency-key", usage = "key of a request that must not run twice")
  private String idempotencyKey;

  @Override
  int call() throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(
                URI.create("http://" + callers + (path == null ? "/v1/chat/completions" : path)))
            .header("authorization", "Bearer " + key)
            .header("content-type", "application/json");
    if (deadlineMs > 0) {
      request.header("x-fawndrum-deadline-ms", Long.toString(deadlineMs));
    }
    if (idempotencyKey != null) {
      request.header("idempotency-key", idempotencyKey);
    }
    request.POST(BodyPublishers.ofString(path == null ? chat() : "{}"));
    long startNanos = System.nanoTime();
    HttpResponse<Stream<String>> response =
        HttpClient.newHttpClient().send(request.build(), BodyHandlers.ofLines());
    return print(response, startNanos);
  }

  private String chat() {
    String prompt = WORD.repeat(tokens * PromptMeasure.CHARS_PER_TOKEN / WORD.length());
    ChatMessage message = new ChatMessage("user", TextNode.valueOf(prompt));
    return Json.write(new ChatRequest(model, List.of(message), true, answer, null));
  }

  private int print(HttpResponse<Stream<String>> response, long startNanos) {
    String id = response.headers().firstValue("x-request-id").orElse("?");
    out().println("request " + id + ", status " + response.statusCode());
    response
        .headers()
        .firstValue("retry-after-ms")
        .ifPresent(ms -> out().println("retry after " + ms + " ms"));
    boolean complete = path != null && response.statusCode() == OK;
    try (Stream<String> lines = response.body()) {
      Iterator<String> each = lines.iterator();
      while (each.hasNext()) {
        String line = each.next();
        if (!line.isEmpty() && (json || path != null || !line.startsWith("data: {\"id\""))) {
          out().println(line);
        }
        complete |= line.equals("data: [DONE]");
      }
    }
    long tookMs = (System.nanoTime() - startNanos) / 1_000_000;
    out()
        .println(
            (complete ? "complete answer" : "no complete answer") + " after " + tookMs + " ms");
    return complete ? ExitCode.DONE : ExitCode.FAILED;
  }
}
