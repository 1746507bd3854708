// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.UnaryOperator;
import org.fawndrum.errors.EndpointRestartedException;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.ServiceProfile;
import org.fawndrum.transport.proxy.EndpointAnswer;
import org.fawndrum.transport.proxy.EndpointRequest;

/**
 * Proves that the process of an endpoint ran at some moment: it answers a request that is sent
 * later. That its port accepts a connection proves nothing, since the operating system does so for
 * a process that is suspended, and for one that was killed until its other connections are closed.
 * Safe for all event loops.
 */
final class LivenessProofs {
  /**
   * How long an endpoint may take to answer, in milliseconds. A plain service answers in turn with
   * its requests, and TCP sends a lost segment again after 200 ms or more.
   */
  private static final long TIMEOUT_MS = 500;

  private final Connector connector;
  private final RelayCodec codec;
  private final UnaryOperator<String> healthPaths;
  private final Map<HostIdentity, Pending> pending = new HashMap<>();

  /** Opens requests to endpoints. */
  interface Connector {
    /** Returns a request on an open connection; nothing has been sent to the endpoint. */
    Future<EndpointRequest> request(Endpoint endpoint, EndpointRequests.Call call);
  }

  /** A request to an endpoint that has been sent, and the one that follows its answer. */
  private static final class Pending {
    private Promise<Void> next;
  }

  /**
   * Creates the proofs of one host.
   *
   * @param connector opens the requests
   * @param healthPaths returns the health path of a service; empty if none is stated
   */
  LivenessProofs(Connector connector, RelayCodec codec, UnaryOperator<String> healthPaths) {
    this.connector = connector;
    this.codec = codec;
    this.healthPaths = healthPaths;
  }

  /** Creates the proofs of a host that reaches endpoints over its paths. */
  static LivenessProofs create(EndpointPaths paths, RelayCodec codec, RouteStore routes) {
    return new LivenessProofs(
        paths::request,
        codec,
        service -> routes.table().service(service).map(ServiceProfile::healthPath).orElse(""));
  }

  /**
   * Completes, on the caller's event loop, when the endpoint has answered a request that was sent
   * after this call; fails if it does not. All calls during one such request share the next.
   */
  Future<Void> prove(Endpoint endpoint) {
    Context loop = Vertx.currentContext();
    Promise<Void> proof = Promise.promise();
    join(endpoint).onComplete(result -> loop.runOnContext(v -> proof.handle(result)));
    return proof.future();
  }

  private synchronized Future<Void> join(Endpoint endpoint) {
    Pending sent = pending.get(endpoint.identity());
    if (sent == null) {
      Promise<Void> first = Promise.promise();
      send(endpoint, first);
      return first.future();
    }
    if (sent.next == null) {
      sent.next = Promise.promise();
    }
    return sent.next.future();
  }

  private synchronized void send(Endpoint endpoint, Promise<Void> proof) {
    pending.put(endpoint.identity(), new Pending());
    ask(endpoint)
        .timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .onComplete(
            result -> {
              ended(endpoint);
              proof.handle(result);
            });
  }

  private synchronized void ended(Endpoint endpoint) {
    Promise<Void> next = pending.remove(endpoint.identity()).next;
    if (next != null) {
      send(endpoint, next);
    }
  }

  private Future<Void> ask(Endpoint endpoint) {
    RelayCodec.LivenessRequest question = codec.livenessRequest(endpoint, healthPath(endpoint));
    return open(endpoint, question)
        .compose(
            first ->
                answer(first, endpoint, question).recover(lost -> again(lost, endpoint, question)));
  }

  /** Asks again after a connection was lost: an endpoint with too many of them resets some. */
  private Future<Void> again(
      Throwable lost, Endpoint endpoint, RelayCodec.LivenessRequest question) {
    return lost instanceof TimeoutException || lost instanceof EndpointRestartedException
        ? Future.failedFuture(lost)
        : open(endpoint, question).compose(second -> answer(second, endpoint, question));
  }

  private String healthPath(Endpoint endpoint) {
    return endpoint.serves().stream()
        .map(healthPaths)
        .filter(path -> !path.isEmpty())
        .findFirst()
        .orElse("");
  }

  /**
   * Opens a new connection: on a kept one, a second answer to an earlier request or question may be
   * under way from before this question is sent.
   */
  private Future<EndpointRequest> open(Endpoint endpoint, RelayCodec.LivenessRequest question) {
    return connector.request(
        endpoint,
        new EndpointRequests.Call(
            question.method(),
            question.uri(),
            false,
            EndpointRequests.Call.NO_REQUEST,
            TIMEOUT_MS));
  }

  /** Completes with the head of the endpoint's answer, which proves enough if it is final. */
  private Future<Void> answer(
      EndpointRequest request, Endpoint endpoint, RelayCodec.LivenessRequest question) {
    request.headers().addAll(question.headers());
    request.body().end();
    return request
        .answer()
        .timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .compose(head -> judge(head, endpoint).onSuccess(v -> dropBody(head, request)))
        .onFailure(cause -> request.reset());
  }

  /** Reads the rest of an answer, so that the endpoint can end it. */
  private static void dropBody(EndpointAnswer head, EndpointRequest request) {
    Promise<Void> end = Promise.promise();
    head.body().exceptionHandler(end::tryFail);
    head.body().endHandler(end::tryComplete);
    end.future().timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS).onFailure(cause -> request.reset());
  }

  private Future<Void> judge(EndpointAnswer head, Endpoint endpoint) {
    boolean own =
        head.isFinal()
            && !head.isJoined()
            && codec.isLivenessAnswer(endpoint, head.statusCode(), head.headers());
    return own
        ? Future.succeededFuture()
        : Future.failedFuture(new EndpointRestartedException(endpoint.name()));
  }
}
