// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.errors.PlatformUnavailableException;
import org.fawndrum.protocol.HostListCodec;
import org.fawndrum.protocol.HostListSource;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.PlatformLog;
import org.fawndrum.protocol.PlatformMessages.Append;
import org.fawndrum.protocol.PlatformMessages.Appended;
import org.fawndrum.protocol.PlatformMessages.HostList;
import org.fawndrum.protocol.PlatformMessages.StoredRecord;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostListing;
import org.fawndrum.transport.http.HttpClients;

/**
 * HTTP client for the log and the host list of the platform. Each call has a connection of its own,
 * because no answer names its call. Safe for all threads.
 */
public final class HttpPlatform implements PlatformLog, HostListSource {
  private static final int MAX_CONNECTIONS = 4;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final long RESPONSE_TIMEOUT_MS = 3_000;
  private static final int HTTP_OK = 200;

  private final HttpClientAgent client;
  private final HostAddress address;
  private final long waitMs;
  private volatile long listVersion = -1;

  /**
   * Creates a client.
   *
   * @param vertx runs the calls
   * @param address the address of the platform
   * @param waitMs how long the platform holds a read open until a record arrives, in milliseconds
   */
  public HttpPlatform(Vertx vertx, HostAddress address, long waitMs) {
    this.client =
        HttpClients.create(
            vertx,
            new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setKeepAlive(false),
            new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    this.address = address;
    this.waitMs = waitMs;
  }

  @Override
  public CompletableFuture<Long> append(byte[] content) {
    Append body = new Append(Base64.getEncoder().encodeToString(content));
    return call(
            HttpMethod.POST,
            "/log",
            Json.write(body),
            Appended.class,
            "append",
            RESPONSE_TIMEOUT_MS)
        .thenApply(Appended::offset);
  }

  @Override
  public CompletableFuture<Batch> read(long from, int maxRecords) {
    String path = "/log?from=" + from + "&most=" + maxRecords + "&waitMs=" + waitMs;
    long timeoutMs = RESPONSE_TIMEOUT_MS + waitMs;
    return call(
            HttpMethod.GET,
            path,
            null,
            org.fawndrum.protocol.PlatformMessages.Batch.class,
            "read",
            timeoutMs)
        .thenApply(batch -> new Batch(batch.first(), batch.next(), records(batch.records())));
  }

  private static List<LogRecord> records(List<StoredRecord> stored) {
    return stored.stream()
        .map(entry -> new LogRecord(entry.offset(), Base64.getDecoder().decode(entry.content())))
        .toList();
  }

  @Override
  public CompletableFuture<HostListing> hosts() {
    String path = "/hosts?after=" + listVersion;
    return call(HttpMethod.GET, path, null, HostList.class, "hosts", RESPONSE_TIMEOUT_MS)
        .thenApply(HostListCodec::decode)
        .whenComplete(
            (listing, failure) -> {
              if (listing != null) {
                listVersion = Math.max(listVersion, listing.version());
              }
            });
  }

  private <T> CompletableFuture<T> call(
      HttpMethod method,
      String path,
      String body,
      Class<T> type,
      String operation,
      long timeoutMs) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(address.ip())
            .setPort(address.port())
            .setURI(path)
            .setTimeout(timeoutMs);
    CompletableFuture<T> result = new CompletableFuture<>();
    client
        .request(options)
        .compose(request -> exchange(request, body, type))
        .onSuccess(result::complete)
        .onFailure(
            cause ->
                result.completeExceptionally(new PlatformUnavailableException(operation, cause)));
    return result;
  }

  private static <T> Future<T> exchange(HttpClientRequest request, String body, Class<T> type) {
    Buffer content = body == null ? Buffer.buffer() : Buffer.buffer(body);
    return request
        .send(content)
        .compose(
            response ->
                response
                    .body()
                    .compose(
                        answer ->
                            response.statusCode() == HTTP_OK
                                ? parse(answer, type)
                                : Future.failedFuture(
                                    new IOException("status " + response.statusCode()))));
  }

  private static <T> Future<T> parse(Buffer answer, Class<T> type) {
    try {
      return Future.succeededFuture(Json.read(answer.getBytes(), type));
    } catch (IOException e) {
      return Future.failedFuture(e);
    }
  }
}
