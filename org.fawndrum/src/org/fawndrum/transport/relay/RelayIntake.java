// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.RequestTarget;
import org.fawndrum.coordination.crash.RequestContent;
import org.fawndrum.errors.RefusedException;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.Route;
import org.fawndrum.state.RouteTable;
import org.fawndrum.state.ServiceProfile;
import org.fawndrum.state.Workspace;
import org.fawndrum.transport.AttemptListener;

/**
 * Determines the route and the workspace of a request and passes it to the decision duty.
 * Thread-safe.
 */
final class RelayIntake implements RelayServer.Intake {
  /** Delay after which a caller is to retry if only other hosts can serve it, in milliseconds. */
  static final long OTHER_HOST_RETRY_MS = 250;

  private final RouteStore routes;
  private final RelayDuty decisions;
  private final RelayContext relay;
  private final Supplier<RelayBounds> bounds;
  private final AttemptEventListener attemptListener;
  private final LatenessWatch lateness;

  /** Receives events of exchanges for the decision duty. */
  interface AttemptEventListener extends AttemptListener {
    /**
     * Called when the endpoint of an attempt crashed during it; the failure of the attempt follows.
     */
    void endpointCrashed(AttemptId attempt);

    /** Called when a helper engine prevented an attempt. */
    void helperRefused(AttemptId attempt, HostIdentity helper);

    /** Called when the caller of a request closed its connection. */
    void callerGone(String requestId);
  }

  RelayIntake(
      RouteStore routes,
      RelayDuty decisions,
      RelayContext relay,
      Supplier<RelayBounds> bounds,
      AttemptEventListener attemptListener,
      LatenessWatch lateness) {
    this.routes = routes;
    this.decisions = decisions;
    this.relay = relay;
    this.bounds = bounds;
    this.attemptListener = attemptListener;
    this.lateness = lateness;
  }

  @Override
  public void accept(RelayServer.IncomingRequest incoming) {
    RouteTable table = routes.table();
    RelayRequest request = incoming.request();
    HttpServerRequest http = incoming.http();
    Route route =
        table
            .route(http.getHeader("host"), http.path())
            .orElseThrow(() -> refusal(request, RefusalKind.NO_ROUTE));
    Workspace workspace = workspace(table, route, request);
    long dueMs = incoming.arrivedMs() + route.allowedMs(request.timeoutMs());
    lateness.checkCanFinish(request.requestId(), dueMs);
    String service = route.service(ThreadLocalRandom.current().nextDouble());
    RequestContent content =
        new CallContent(
            http.method().name(),
            http.uri(),
            workspace.name(),
            incoming.body(),
            service,
            request.prefixes());
    incoming.held().answerDue(dueMs);
    RequestFacts facts = facts(table, route, service, workspace, incoming, content);
    RelayCall call =
        new RelayCall(
            request,
            route,
            workspace,
            http.method(),
            http.uri(),
            http.headers(),
            incoming.body(),
            incoming.held(),
            content);
    HttpServerResponse response = http.response();
    RelayExchange exchange =
        new RelayExchange(
            call,
            response,
            incoming::callerDisconnected,
            incoming.context(),
            relay,
            attemptListener);
    reportDisconnect(response, request.requestId());
    if (!decisions.offerRequest(new RelayEvent.RequestArrived(facts), exchange)) {
      throw retryLater(request, RefusalKind.HOST_BUSY);
    }
  }

  private void reportDisconnect(HttpServerResponse response, String requestId) {
    response.closeHandler(
        v -> {
          // The handler also runs after a complete answer, when the caller has not disconnected.
          if (!response.ended()) {
            attemptListener.callerGone(requestId);
          }
        });
  }

  private Workspace workspace(RouteTable table, Route route, RelayRequest request) {
    if (route.allowsAnonymous() || !table.needsKeys()) {
      return Workspace.ANONYMOUS;
    }
    Workspace workspace = request.key().map(table.workspaces()::get).orElse(null);
    if (workspace == null) {
      throw refusal(request, RefusalKind.UNKNOWN_KEY);
    }
    if (!ConfigurationFreshness.acceptsKeys(bounds.get(), routes.ageMs(relay.clock().nowMs()))) {
      // The key may have been revoked by a configuration that this host could not read.
      throw retryLater(request, RefusalKind.NO_TABLE);
    }
    return workspace;
  }

  private static RequestFacts facts(
      RouteTable table,
      Route route,
      String service,
      Workspace workspace,
      RelayServer.IncomingRequest incoming,
      RequestContent content) {
    RelayRequest request = incoming.request();
    EndpointKind kind = table.service(service).map(ServiceProfile::kind).orElse(EndpointKind.PLAIN);
    return new RequestFacts(
        request.requestId(),
        new CallerGroup(workspace.name(), route.name()),
        new RequestTarget(kind, service),
        kind == EndpointKind.MODEL ? request.promptTokens() : 0,
        kind == EndpointKind.MODEL ? request.maxAnswerTokens() : 0,
        incoming.arrivedMs(),
        request.timeoutMs(),
        route.repeatable(),
        request.prefixes(),
        route.latencyTargets(),
        content);
  }

  private static RefusedException refusal(RelayRequest request, RefusalKind kind) {
    return new RefusedException(request.requestId(), Refusal.notRun(kind));
  }

  private static RefusedException retryLater(RelayRequest request, RefusalKind kind) {
    return new RefusedException(request.requestId(), Refusal.of(kind, Ran.NO, OTHER_HOST_RETRY_MS));
  }
}
