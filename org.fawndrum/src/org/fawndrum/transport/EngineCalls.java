// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.errors.EndpointAnsweredWrongException;
import org.fawndrum.errors.EndpointUnreachableException;
import org.fawndrum.protocol.EngineMessages.Cancel;
import org.fawndrum.protocol.EngineMessages.Load;
import org.fawndrum.protocol.Json;
import org.fawndrum.state.Endpoint;
import org.fawndrum.transport.http.BufferedAnswers;
import org.fawndrum.transport.http.HttpClients;

/**
 * HTTP client for model engines. Safe for all threads.
 *
 * <p>The heads of streams and the answers to commands carry no id, and an engine may answer twice.
 * Each stream and command therefore has a connection of its own. Loads, which are read often and
 * name their engine and their sequence, share connections with each other only.
 */
public final class EngineCalls {
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int MAX_CONNECTIONS_PER_ENGINE = 1_024;
  private static final long CALL_TIMEOUT_MS = 2_000;
  private static final int MAX_CANCEL_TRIES = 3;
  private static final long CANCEL_RETRY_MS = 500;

  /** Above the list of some thousand attempts that hold memory. */
  private static final int MAX_ANSWER_BYTES = 1 << 20;

  private static final int HTTP_OK = 200;

  private final Vertx vertx;
  private final HttpClientAgent client;
  private final HttpClientAgent loadClient;
  private final long silenceMs;

  /**
   * Creates the client.
   *
   * @param vertx runs the calls
   * @param silenceMs the maximum time between two chunks of an answer, in milliseconds
   */
  public EngineCalls(Vertx vertx, long silenceMs) {
    this.vertx = vertx;
    this.silenceMs = silenceMs;
    HttpClientOptions options = new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS);
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ENGINE);
    this.loadClient = HttpClients.create(vertx, options, pool);
    this.client =
        HttpClients.create(vertx, new HttpClientOptions(options).setKeepAlive(false), pool);
  }

  /** Creates a stream; the call is sent by {@link EngineStream#start}. */
  EngineStream stream(EngineStream.Listener listener) {
    return new EngineStream(vertx, client, silenceMs, listener);
  }

  /**
   * Cancels an attempt on an engine, with up to three tries. If all fail, the engine notices the
   * closed connection, and {@link MemorySweep} frees what is left.
   */
  public void cancel(Endpoint endpoint, AttemptId attempt) {
    cancel(endpoint, attempt, 1);
  }

  private void cancel(Endpoint endpoint, AttemptId attempt, int tries) {
    String body = Json.write(new Cancel(attempt.toString()));
    call(client, endpoint, HttpMethod.POST, "/v1/cancel", body)
        .onFailure(
            cause -> {
              if (tries < MAX_CANCEL_TRIES) {
                vertx.setTimer(CANCEL_RETRY_MS, id -> cancel(endpoint, attempt, tries + 1));
              }
            });
  }

  /**
   * Reads the load of an engine. The future fails with {@code EndpointUnreachableException} or
   * {@code EndpointAnsweredWrongException}.
   */
  public CompletableFuture<Load> load(Endpoint endpoint) {
    return parse(endpoint, call(loadClient, endpoint, HttpMethod.GET, "/v1/load", ""), Load.class);
  }

  /** Calls an engine and parses its response; fails in the same way as {@link #load}. */
  <T> CompletableFuture<T> read(
      Endpoint endpoint, HttpMethod method, String path, String body, Class<T> type) {
    return parse(endpoint, call(client, endpoint, method, path, body), type);
  }

  private static <T> CompletableFuture<T> parse(
      Endpoint endpoint, Future<Buffer> answered, Class<T> type) {
    CompletableFuture<T> result = new CompletableFuture<>();
    answered
        .onSuccess(
            answer -> {
              try {
                result.complete(Json.read(answer.getBytes(), type));
              } catch (IOException e) {
                result.completeExceptionally(
                    new EndpointAnsweredWrongException(endpoint.name(), HTTP_OK, e));
              }
            })
        .onFailure(
            cause ->
                result.completeExceptionally(
                    new EndpointUnreachableException(endpoint.address(), cause)));
    return result;
  }

  private static Future<Buffer> call(
      HttpClientAgent client, Endpoint endpoint, HttpMethod method, String path, String body) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(endpoint.address().ip())
            .setPort(endpoint.address().port())
            .setURI(path)
            .setTimeout(CALL_TIMEOUT_MS);
    return BufferedAnswers.send(client, options, Buffer.buffer(body), MAX_ANSWER_BYTES)
        .compose(answer -> body(endpoint, answer));
  }

  private static Future<Buffer> body(Endpoint endpoint, BufferedAnswers.Answer answer) {
    int status = answer.status();
    return status == HTTP_OK
        ? Future.succeededFuture(answer.body())
        : Future.failedFuture(new EndpointAnsweredWrongException(endpoint.name(), status, null));
  }
}
