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
 * Finds the route and the workspace of a request and hands it to the decisions. Safe for all
 * threads.
 */
final class RelayIntake implements RelayServer.Intake {
  /** After how long a caller is asked back when only other hosts can help, in milliseconds. */
  static final long OTHER_HOST_RETRY_MS = 250;

  private final RouteStore routes;
  private final RelayDuty decisions;
  private final RelayTools tools;
  private final Supplier<RelayBounds> bounds;
  private final Attempts attempts;

  /** The way back from exchanges to the decisions. */
  interface Attempts extends AttemptListener {
    /** The endpoint of an attempt ended under it; the attempt fails next. */
    void endpointEnded(AttemptId attempt);

    /** One of an attempt's helpers keeps it from being taken. */
    void helperRefused(AttemptId attempt, HostIdentity helper);

    /** The caller of a request closed its connection. */
    void callerGone(String requestId);
  }

  RelayIntake(
      RouteStore routes,
      RelayDuty decisions,
      RelayTools tools,
      Supplier<RelayBounds> bounds,
      Attempts attempts) {
    this.routes = routes;
    this.decisions = decisions;
    this.tools = tools;
    this.bounds = bounds;
    this.attempts = attempts;
  }

  @Override
  public void take(RelayServer.Incoming incoming) {
    RouteTable table = routes.table();
    RelayRequest request = incoming.request();
    HttpServerRequest http = incoming.http();
    Route route =
        table
            .route(http.getHeader("host"), http.path())
            .orElseThrow(() -> refused(request, RefusalKind.NO_ROUTE));
    Workspace workspace = workspace(table, route, request);
    RequestContent content =
        new CallContent(http.method().name(), http.uri(), workspace.name(), incoming.body());
    RequestFacts facts = facts(table, route, workspace, incoming, content);
    RelayCall call =
        new RelayCall(
            request,
            route,
            workspace,
            http.method(),
            http.uri(),
            http.headers(),
            incoming.body(),
            content);
    HttpServerResponse response = http.response();
    RelayExchange exchange =
        new RelayExchange(
            call, response, incoming::callerLeft, incoming.context(), tools, attempts);
    response.closeHandler(
        v -> {
          // The handler also runs after a whole answer, when nobody has gone.
          if (!response.ended()) {
            attempts.callerGone(request.requestId());
          }
        });
    if (!decisions.arrived(new RelayEvent.Arrived(facts), exchange)) {
      throw later(request, RefusalKind.HOST_BUSY);
    }
  }

  private Workspace workspace(RouteTable table, Route route, RelayRequest request) {
    if (route.open() || !table.needsKeys()) {
      return Workspace.ANYBODY;
    }
    Workspace workspace = request.key().map(table.workspaces()::get).orElse(null);
    if (workspace == null) {
      throw refused(request, RefusalKind.UNKNOWN_KEY);
    }
    if (!ConfigurationTrust.forKeys(bounds.get(), routes.ageMs(tools.clock().nowMs()))) {
      // The key may have been revoked in a configuration that this host could not read.
      throw later(request, RefusalKind.NO_TABLE);
    }
    return workspace;
  }

  private static RequestFacts facts(
      RouteTable table,
      Route route,
      Workspace workspace,
      RelayServer.Incoming incoming,
      RequestContent content) {
    RelayRequest request = incoming.request();
    String service = route.service(ThreadLocalRandom.current().nextDouble());
    EndpointKind kind = table.service(service).map(ServiceProfile::kind).orElse(EndpointKind.PLAIN);
    return new RequestFacts(
        request.requestId(),
        new CallerGroup(workspace.name(), route.name()),
        new RequestTarget(kind, service),
        kind == EndpointKind.MODEL ? request.promptTokens() : 0,
        kind == EndpointKind.MODEL ? request.answerTokens() : 0,
        incoming.arrivedMs(),
        request.wantedMs(),
        route.repeatable(),
        request.prefixes(),
        route.aims(),
        content);
  }

  private static RefusedException refused(RelayRequest request, RefusalKind kind) {
    return new RefusedException(request.requestId(), Refusal.notRun(kind));
  }

  private static RefusedException later(RelayRequest request, RefusalKind kind) {
    return new RefusedException(request.requestId(), Refusal.of(kind, Ran.NO, OTHER_HOST_RETRY_MS));
  }
}
