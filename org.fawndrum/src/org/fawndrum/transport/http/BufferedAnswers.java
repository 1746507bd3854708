// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.http;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.TimeUnit;
import org.fawndrum.errors.AnswerHeadDamagedException;
import org.fawndrum.errors.AnswerJoinedException;
import org.fawndrum.errors.AnswerTooLargeException;
import org.fawndrum.transport.proxy.EndpointAnswer;
import org.fawndrum.transport.proxy.EndpointRequest;

/**
 * Sends requests and buffers their answers. Connecting and receiving the answer may each take the
 * timeout of the request's options. The client's own timeout covers only the head of an answer, so
 * a connection that stalls in the middle of the body would never time out.
 */
public final class BufferedAnswers {
  private BufferedAnswers() {}

  /** An answer with its complete body. */
  public record Answer(int status, MultiMap headers, Buffer body) {}

  /**
   * Sends a request; fails and closes the connection if the complete answer does not arrive in
   * time, or is too large.
   *
   * @param maxBytes the largest body of an answer
   */
  public static Future<Answer> send(
      HttpClientAgent client, RequestOptions options, Buffer body, int maxBytes) {
    return client
        .request(options)
        .compose(request -> receive(request, body, options.getTimeout(), maxBytes));
  }

  /**
   * Sends a request through another host; fails and closes the connection if the complete answer
   * does not arrive in time, or is too large.
   *
   * @param maxBytes the largest body of an answer
   */
  public static Future<Answer> receive(
      EndpointRequest request, Buffer body, long timeoutMs, int maxBytes) {
    request.body().end(body);
    return request
        .answer()
        .compose(head -> collect(head, maxBytes))
        .timeout(timeoutMs, TimeUnit.MILLISECONDS)
        .onFailure(cause -> request.reset());
  }

  private static Future<Answer> collect(EndpointAnswer head, int maxBytes) {
    if (head.isJoined()) {
      return Future.failedFuture(new AnswerJoinedException(head.statusCode()));
    }
    if (!head.isReadable()) {
      return Future.failedFuture(new AnswerHeadDamagedException());
    }
    Promise<Answer> whole = Promise.promise();
    Buffer content = Buffer.buffer();
    head.body().exceptionHandler(whole::tryFail);
    head.body()
        .handler(
            part -> {
              if (content.length() + (long) part.length() <= maxBytes) {
                content.appendBuffer(part);
              } else {
                whole.tryFail(new AnswerTooLargeException(maxBytes));
              }
            });
    head.body()
        .endHandler(v -> whole.tryComplete(new Answer(head.statusCode(), head.headers(), content)));
    return whole.future();
  }

  private static Future<Answer> receive(
      HttpClientRequest request, Buffer body, long timeoutMs, int maxBytes) {
    return exchange(request, body, maxBytes)
        .timeout(timeoutMs, TimeUnit.MILLISECONDS)
        .onFailure(cause -> request.reset());
  }

  /**
   * Sends a request on an open connection; fails and closes the connection if the answer is not
   * whole, or is too large. Whoever calls limits the time, by a reset.
   *
   * @param maxBytes the largest body of an answer
   */
  public static Future<Answer> receive(HttpClientRequest request, Buffer body, int maxBytes) {
    return exchange(request, body, maxBytes).onFailure(cause -> request.reset());
  }

  private static Future<Answer> exchange(HttpClientRequest request, Buffer body, int maxBytes) {
    return request.send(body).compose(head -> collect(EndpointAnswer.of(head), maxBytes));
  }
}
