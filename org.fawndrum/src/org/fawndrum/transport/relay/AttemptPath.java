// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Future;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.errors.AnswerIncompleteException;
import org.fawndrum.errors.ProxyFailedException;
import org.fawndrum.errors.SecondAnswerException;
import org.fawndrum.state.Endpoint;
import org.fawndrum.transport.proxy.ConnectionUse;
import org.fawndrum.transport.proxy.EndpointRequest;

/**
 * The way that one attempt takes to its endpoint: this host's own link, or another host. Confined
 * to one event loop.
 */
final class AttemptPath {
  /** What is found at an endpoint that goes on. */
  private static final String ANSWERED = "answered";

  private final EndpointPaths paths;
  private final LivenessProofs proofs;
  private final Endpoint endpoint;
  private final boolean sentBefore;
  private final boolean newConnection;
  private EndpointRequest request;
  private boolean mayUseKept;
  private boolean strayReceived;

  /**
   * Creates a path that is not open.
   *
   * @param sentBefore whether the same request was sent to this endpoint before
   * @param newConnection whether an earlier attempt of the request got somebody else's answer
   */
  AttemptPath(
      EndpointPaths paths,
      LivenessProofs proofs,
      Endpoint endpoint,
      boolean sentBefore,
      boolean newConnection) {
    this.paths = paths;
    this.proofs = proofs;
    this.endpoint = endpoint;
    this.sentBefore = sentBefore;
    this.newConnection = newConnection;
  }

  /**
   * Returns a request on an open connection; nothing has been sent to the endpoint. The connection
   * is a new one if the endpoint had the same request before: on a kept one, a late second answer
   * to the earlier attempt would look like the answer to this one. It is also new where a second
   * answer to another request is likely: the endpoint sent one lately, or the request already lost
   * an attempt to one, and may not have a third.
   *
   * @param remainingMs how long it may take from now on, in milliseconds
   */
  Future<EndpointRequest> open(RelayCall call, long remainingMs) {
    boolean doubtful = sentBefore || newConnection || paths.isStuttering(endpoint);
    mayUseKept = call.route().repeatable() && !doubtful;
    EndpointRequests.Call summary =
        new EndpointRequests.Call(
            call.method(), call.uri(), mayUseKept, call.request().requestId(), remainingMs);
    return paths.request(endpoint, summary).onSuccess(opened -> request = opened);
  }

  /** Returns the name of the endpoint. */
  String endpointName() {
    return endpoint.name();
  }

  /** Returns whether the same request was sent to the endpoint before. */
  boolean sentBefore() {
    return sentBefore;
  }

  /** Returns which use of its connection the attempt is. */
  ConnectionUse use() {
    return request == null ? ConnectionUse.UNKNOWN : request.use();
  }

  /** Ends the connection of the attempt, so that nothing more arrives on it. */
  void reset() {
    if (request != null) {
      request.reset();
    }
  }

  /**
   * Returns whether the connection may have carried another request before. That of a request
   * through another host is known to be new only if that was asked for.
   */
  boolean isKept() {
    return mayUseKept && use().isKept();
  }

  /**
   * Records that an answer arrived that is not the attempt's own. On a connection that was kept,
   * the endpoint answered an earlier request twice; the first answer on a new one is a corrupt one.
   */
  void foreignAnswerReceived() {
    if (isKept()) {
      strayReceived = true;
      paths.stuttered(endpoint);
    }
  }

  /** Returns the event of an attempt that found no connection. */
  static AttemptEvent notOpened(Throwable cause) {
    boolean noPath = cause instanceof ProxyFailedException failure && failure.isPathMissing();
    return noPath ? AttemptEvent.NO_PATH : AttemptEvent.CONNECT_FAILED;
  }

  private boolean usesOwnLink() {
    return request != null && !request.isProxied();
  }

  /** Records that data of the endpoint arrived. */
  void heard() {
    if (usesOwnLink()) {
      paths.heard(endpoint);
    }
  }

  /** Returns whether the attempt depends on a link that has been lost since it was sent. */
  boolean isLost() {
    return usesOwnLink() && paths.isLinkLost(endpoint);
  }

  /** Returns whether this host failed to connect to the endpoint since its last data. */
  boolean isEndpointUnreached() {
    return paths.isUnreached(endpoint);
  }

  /** Checks the link to the endpoint if nothing has arrived from it for long. */
  void checkIfSilent(long silentMs) {
    if (usesOwnLink()) {
      paths.checkIfSilent(endpoint, silentMs);
    }
  }

  /** Returns the event of an attempt that is ended because nothing reliable arrives. */
  AttemptEvent abandoned() {
    if (strayReceived) {
      return AttemptEvent.STRAY_ANSWER;
    }
    return isLost() ? AttemptEvent.PATH_LOST : AttemptEvent.LOST;
  }

  /** Determines why the connection was lost. */
  Future<EndpointPaths.Loss> whyLost(Throwable cause) {
    if (usesOwnLink()) {
      return paths.whyLost(endpoint);
    }
    return Future.succeededFuture(
        isEndpointAtFault(cause) ? EndpointPaths.Loss.UNKNOWN : EndpointPaths.Loss.PATH);
  }

  private static boolean isEndpointAtFault(Throwable cause) {
    return cause instanceof AnswerIncompleteException
        || cause instanceof SecondAnswerException
        || cause instanceof ProxyFailedException failure && failure.isEndpointAtFault();
  }

  /**
   * What was found when an answer had ended with its connection.
   *
   * @param whole whether the answer counts as whole
   * @param found {@link #ANSWERED}, or what its endpoint did instead of answering
   */
  record EndCheck(boolean whole, String found) {}

  /** Completes when the endpoint has answered a question that is sent now; fails if it does not. */
  Future<Void> proveAlive() {
    return proofs.prove(endpoint);
  }

  /**
   * Determines whether the endpoint went on after its answer, over any path to it. An answer that
   * ended together with its endpoint is not known to be whole, and neither is one of an endpoint
   * that nobody reaches any more. Never fails.
   */
  Future<EndCheck> checkEnd() {
    return proveAlive()
        .map(proved -> new EndCheck(true, ANSWERED))
        .otherwise(cause -> new EndCheck(false, cause.toString()));
  }
}
