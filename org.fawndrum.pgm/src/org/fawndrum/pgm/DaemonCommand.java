// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.stream.Stream;
import org.fawndrum.errors.OperatorCallFailedException;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.OperatorMessages.Failure;
import org.kohsuke.args4j.Option;

/** A command that calls a daemon at its operator address. */
abstract class DaemonCommand extends Command {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(20);
  private static final int MIN_ERROR_STATUS = 400;

  @Option(
      name = "--daemon",
      metaVar = "IP:PORT",
      usage = "operator address of a daemon (default: FAWNDRUM_DAEMON or 127.0.0.1:7410)")
  String daemon = environment("FAWNDRUM_DAEMON", "127.0.0.1:7410");

  @Option(
      name = "--key",
      metaVar = "KEY",
      usage = "operator key (default: FAWNDRUM_KEY, which keeps it off the command line)")
  String key = environment("FAWNDRUM_KEY", "");

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();

  static String environment(String name, String fallback) {
    String value = System.getenv(name);
    return value == null || value.isEmpty() ? fallback : value;
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + daemon + path))
        .header("authorization", "Bearer " + key);
  }

  /**
   * Returns the response to a GET request.
   *
   * @throws OperatorCallFailedException if the status is 400 or higher
   */
  HttpResponse<String> get(String path) throws IOException, InterruptedException {
    HttpResponse<String> response =
        client.send(request(path).timeout(ANSWER_TIMEOUT).GET().build(), BodyHandlers.ofString());
    if (response.statusCode() >= MIN_ERROR_STATUS) {
      throw failure("GET", path, response);
    }
    return response;
  }

  /** Returns the body of the response to a GET request, parsed as a message. */
  <T> T get(String path, Class<T> type) throws IOException, InterruptedException {
    return Json.read(get(path).body(), type);
  }

  /** Sends a POST request with a message, or an empty body if null; returns any response. */
  HttpResponse<String> post(String path, Object message) throws IOException, InterruptedException {
    String body = message == null ? "" : Json.write(message);
    HttpRequest post =
        request(path).timeout(ANSWER_TIMEOUT).POST(BodyPublishers.ofString(body)).build();
    return client.send(post, BodyHandlers.ofString());
  }

  /** Returns the lines of a streamed response, until the daemon ends it. */
  Stream<String> lines(String path) throws IOException, InterruptedException {
    HttpResponse<Stream<String>> response =
        client.send(request(path).GET().build(), BodyHandlers.ofLines());
    if (response.statusCode() >= MIN_ERROR_STATUS) {
      throw new OperatorCallFailedException(
          "GET", path, response.statusCode(), response.body().findFirst().orElse(""));
    }
    return response.body();
  }

  static OperatorCallFailedException failure(
      String method, String path, HttpResponse<String> response) {
    String text = response.body();
    try {
      text = Json.read(text, Failure.class).message();
    } catch (IOException e) {
      // The body is not a failure message; show it unchanged.
      text = response.body();
    }
    return new OperatorCallFailedException(method, path, response.statusCode(), text);
  }
}
