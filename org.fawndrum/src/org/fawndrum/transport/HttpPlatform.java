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
import org.fawndrum.transport.http.BufferedAnswers;
import org.fawndrum.transport.http.HttpClients;

/**
 * HTTP client for the log and the host list of the platform. Each call has a connection of its own,
 * because no answer names its call. Safe for all threads.
 */
public final class HttpPlatform implements PlatformLog, HostListSource {
  private static final int MAX_CONNECTIONS = 4;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final long RESPONSE_TIMEOUT_MS = 3_000;

  /** Above an answer that has one number. */
  private static final int NUMBER_BYTES = 64 << 10;

  /** Above the list of some ten thousand hosts and endpoints. */
  private static final int MAX_LIST_BYTES = 16 << 20;

  /** Above the records of one read; a log whose next records are larger could not be followed. */
  private static final int MAX_BATCH_BYTES = 64 << 20;

  private static final int HTTP_OK = 200;

  private final HttpClientAgent client;
  private final HostAddress address;
  private final long waitMs;
  private volatile long listVersion = -1;

  /**
   * A call.
   *
   * @param body its body; empty for none
   * @param maxBytes the largest body of its answer
   */
  private record Call(
      String operation,
      HttpMethod method,
      String path,
      String body,
      long timeoutMs,
      int maxBytes) {}

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
    Call append =
        new Call(
            "append", HttpMethod.POST, "/log", Json.write(body), RESPONSE_TIMEOUT_MS, NUMBER_BYTES);
    return call(append, Appended.class).thenApply(Appended::offset);
  }

  @Override
  public CompletableFuture<Batch> read(long from, int maxRecords) {
    String path = "/log?from=" + from + "&most=" + maxRecords + "&waitMs=" + waitMs;
    long timeoutMs = RESPONSE_TIMEOUT_MS + waitMs;
    Call read = new Call("read", HttpMethod.GET, path, "", timeoutMs, MAX_BATCH_BYTES);
    return call(read, org.fawndrum.protocol.PlatformMessages.Batch.class)
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
    Call hosts = new Call("hosts", HttpMethod.GET, path, "", RESPONSE_TIMEOUT_MS, MAX_LIST_BYTES);
    return call(hosts, HostList.class)
        .thenApply(HostListCodec::decode)
        .whenComplete(
            (listing, failure) -> {
              if (listing != null) {
                listVersion = Math.max(listVersion, listing.version());
              }
            });
  }

  private <T> CompletableFuture<T> call(Call call, Class<T> type) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(call.method())
            .setHost(address.ip())
            .setPort(address.port())
            .setURI(call.path())
            .setTimeout(call.timeoutMs());
    CompletableFuture<T> result = new CompletableFuture<>();
    BufferedAnswers.send(client, options, Buffer.buffer(call.body()), call.maxBytes())
        .compose(answer -> read(answer, type))
        .onSuccess(result::complete)
        .onFailure(
            cause ->
                result.completeExceptionally(
                    new PlatformUnavailableException(call.operation(), cause)));
    return result;
  }

  private static <T> Future<T> read(BufferedAnswers.Answer answer, Class<T> type) {
    return answer.status() == HTTP_OK
        ? parse(answer.body(), type)
        : Future.failedFuture(new IOException("status " + answer.status()));
  }

  private static <T> Future<T> parse(Buffer answer, Class<T> type) {
    try {
      return Future.succeededFuture(Json.read(answer.getBytes(), type));
    } catch (IOException e) {
      return Future.failedFuture(e);
    }
  }
}
