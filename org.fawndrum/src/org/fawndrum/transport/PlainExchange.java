// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import java.util.Set;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RequestFacts;

/**
 * A call of a plain service on its way. The answer is held until it is whole, so that a cut one is
 * never handed on.
 */
final class PlainExchange implements Exchange {
  /** A service says that it did not and will not run the call: this header with value "no". */
  static final String RAN_HEADER = "x-ran";

  private static final Set<String> NOT_HANDED_ON =
      Set.of(
          "connection",
          "content-length",
          "host",
          "keep-alive",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "authorization",
          "expect");

  private final RequestFacts facts;
  private final PlainCall call;
  private final HttpServerResponse response;
  private final Context context;
  private final HttpClientAgent client;
  private final AttemptListener attempts;
  private Action.Send sent;
  private HttpClientRequest request;
  private boolean handedOver;
  private boolean over;

  /** What the caller asked for. */
  record PlainCall(HttpMethod method, String uri, MultiMap headers, Buffer body) {}

  PlainExchange(
      RequestFacts facts,
      PlainCall call,
      HttpServerResponse response,
      Context context,
      HttpClientAgent client,
      AttemptListener attempts) {
    this.facts = facts;
    this.call = call;
    this.response = response;
    this.context = context;
    this.client = client;
    this.attempts = attempts;
  }

  @Override
  public void onLoop(Runnable step) {
    context.runOnContext(v -> step.run());
  }

  @Override
  public void send(Action.Send send) {
    if (over) {
      attempts.happened(send.attempt(), AttemptEvent.CONNECT_FAILED);
      return;
    }
    sent = send;
    RequestOptions options =
        new RequestOptions()
            .setMethod(call.method())
            .setHost(send.endpoint().address().ip())
            .setPort(send.endpoint().address().port())
            .setURI(call.uri());
    client
        .request(options)
        .onComplete(
            connected ->
                onLoop(
                    () -> {
                      if (connected.succeeded()) {
                        connected(send, connected.result());
                      } else {
                        attempts.happened(send.attempt(), AttemptEvent.CONNECT_FAILED);
                      }
                    }));
  }

  private void connected(Action.Send send, HttpClientRequest ready) {
    if (over || send != sent) {
      ready.reset();
      attempts.happened(send.attempt(), AttemptEvent.CONNECT_FAILED);
      return;
    }
    request = ready;
    handedOver = true;
    copyHeaders(call.headers(), ready.headers());
    ready.putHeader("x-request-id", facts.requestId());
    ready
        .send(call.body())
        .compose(answer -> answer.body().map(body -> new WholeAnswer(answer, body)))
        .onComplete(
            done ->
                onLoop(
                    () -> {
                      if (done.succeeded()) {
                        answered(send, done.result());
                      } else {
                        attempts.happened(send.attempt(), AttemptEvent.LOST);
                      }
                    }));
  }

  /** A service's answer with its whole body. */
  private record WholeAnswer(HttpClientResponse head, Buffer body) {}

  private void answered(Action.Send send, WholeAnswer answer) {
    if (over || send != sent) {
      return;
    }
    if ("no".equals(answer.head().getHeader(RAN_HEADER))) {
      attempts.happened(send.attempt(), AttemptEvent.REFUSED_BY_ENDPOINT);
      return;
    }
    over = true;
    attempts.happened(send.attempt(), AttemptEvent.ANSWERED);
    if (response.closed()) {
      return;
    }
    copyHeaders(answer.head().headers(), response.headers());
    response
        .setStatusCode(answer.head().statusCode())
        .putHeader("x-request-id", facts.requestId())
        .end(answer.body());
  }

  private static void copyHeaders(MultiMap from, MultiMap to) {
    from.forEach(
        header -> {
          if (!NOT_HANDED_ON.contains(header.getKey().toLowerCase(java.util.Locale.ROOT))) {
            to.add(header.getKey(), header.getValue());
          }
        });
  }

  @Override
  public void cancel(Action.Cancel cancel) {
    if (request != null && sent != null && cancel.attempt().equals(sent.attempt())) {
      request.reset();
    }
  }

  @Override
  public boolean everHandedOver() {
    return handedOver;
  }

  @Override
  public void refuse(Refusal refusal) {
    if (over) {
      return;
    }
    over = true;
    CallerResponse.refuse(response, facts.requestId(), refusal);
  }
}
