// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import java.util.Set;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.backpressure.HoldLimits;
import org.fawndrum.transport.http.BufferedAnswers;

/**
 * A call of a plain service in progress. The response is buffered until it is complete, so that a
 * truncated one is never forwarded. Confined to the event loop of its caller's connection.
 */
final class PlainExchange implements Exchange {
  /** Response header; the value "no" means that the service did not and will not run the call. */
  static final String RAN_HEADER = "x-ran";

  /** The same as on the platform (HoldLimits): twice the largest request body. */
  private static final int MAX_ANSWER_BYTES = HoldLimits.DEFAULT_ANSWER_BYTES;

  private static final Set<String> NOT_FORWARDED_HEADERS =
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
  private final AttemptListener attemptListener;
  private Action.Send current;
  private HttpClientRequest request;
  private boolean requestSent;
  private boolean completed;

  /** The parts of the request of the caller that are forwarded. */
  record PlainCall(HttpMethod method, String uri, MultiMap headers, Buffer body) {}

  PlainExchange(
      RequestFacts facts,
      PlainCall call,
      HttpServerResponse response,
      Context context,
      HttpClientAgent client,
      AttemptListener attemptListener) {
    this.facts = facts;
    this.call = call;
    this.response = response;
    this.context = context;
    this.client = client;
    this.attemptListener = attemptListener;
  }

  @Override
  public void runOnLoop(Runnable step) {
    context.runOnContext(v -> step.run());
  }

  @Override
  public void send(Action.Send send) {
    if (completed) {
      attemptListener.onEvent(send.attempt(), AttemptEvent.CONNECT_FAILED);
      return;
    }
    current = send;
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
                runOnLoop(
                    () -> {
                      if (connected.succeeded()) {
                        sendRequest(send, connected.result());
                      } else {
                        attemptListener.onEvent(send.attempt(), AttemptEvent.CONNECT_FAILED);
                      }
                    }));
  }

  private void sendRequest(Action.Send send, HttpClientRequest connected) {
    if (completed || send != current) {
      connected.reset();
      attemptListener.onEvent(send.attempt(), AttemptEvent.CONNECT_FAILED);
      return;
    }
    request = connected;
    requestSent = true;
    copyHeaders(call.headers(), connected.headers());
    connected.putHeader("x-request-id", facts.requestId());
    BufferedAnswers.receive(connected, call.body(), MAX_ANSWER_BYTES)
        .onComplete(
            done ->
                runOnLoop(
                    () -> {
                      if (done.succeeded()) {
                        handleResponse(send, done.result());
                      } else {
                        attemptListener.onEvent(send.attempt(), AttemptEvent.LOST);
                      }
                    }));
  }

  private void handleResponse(Action.Send send, BufferedAnswers.Answer answer) {
    if (completed || send != current) {
      return;
    }
    if ("no".equals(answer.headers().get(RAN_HEADER))) {
      attemptListener.onEvent(send.attempt(), AttemptEvent.REFUSED_BY_ENDPOINT);
      return;
    }
    completed = true;
    attemptListener.onEvent(send.attempt(), AttemptEvent.ANSWERED);
    if (response.closed()) {
      return;
    }
    copyHeaders(answer.headers(), response.headers());
    response
        .setStatusCode(answer.status())
        .putHeader("x-request-id", facts.requestId())
        .end(answer.body());
  }

  private static void copyHeaders(MultiMap from, MultiMap to) {
    from.forEach(
        header -> {
          if (!NOT_FORWARDED_HEADERS.contains(header.getKey().toLowerCase(java.util.Locale.ROOT))) {
            to.add(header.getKey(), header.getValue());
          }
        });
  }

  @Override
  public void cancel(Action.Cancel cancel) {
    if (request != null && current != null && cancel.attempt().equals(current.attempt())) {
      request.reset();
    }
  }

  @Override
  public boolean anyRequestSent() {
    return requestSent;
  }

  @Override
  public void refuse(Refusal refusal) {
    if (completed) {
      return;
    }
    completed = true;
    CallerResponse.refuse(response, facts.requestId(), refusal);
  }
}
