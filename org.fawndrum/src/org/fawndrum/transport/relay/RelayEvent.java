// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.function.Consumer;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.coordination.Reason;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.ShutdownWindow;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.coordination.limit.PermitGrant;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.RouteTable;
import org.fawndrum.state.TableRevision;

/** An event for {@link RelayDuty}. */
sealed interface RelayEvent {
  /** An event of one request. */
  sealed interface RequestEvent extends RelayEvent {}

  /** An event from another daemon, or for one. */
  sealed interface PeerEvent extends RelayEvent {}

  /** An event of the operators' configuration or of the endpoints. */
  sealed interface EndpointEvent extends RelayEvent {}

  /** An event of this host's lifecycle. */
  sealed interface LifecycleEvent extends RelayEvent {}

  /** A request arrived. */
  record RequestArrived(RequestFacts facts) implements RequestEvent {}

  /** The state of an attempt changed. */
  record AttemptChanged(AttemptId attempt, AttemptEvent event) implements RequestEvent {}

  /** The endpoint of an attempt crashed during it; the failure of the attempt follows. */
  record EndpointCrashed(AttemptId attempt) implements RequestEvent {}

  /** A helper engine prevented an attempt. */
  record HelperRefused(AttemptId attempt, HostIdentity helper) implements RequestEvent {}

  /** A caller closed its connection. */
  record CallerGone(String requestId) implements RequestEvent {}

  /** A caller or an endpoint read too slowly, so that this host ends the request. */
  record RequestEnded(String requestId, RefusalKind kind, Reason reason) implements RequestEvent {}

  /** A newer configuration is in force. */
  record RoutesChanged(RouteTable routes, TableRevision table) implements EndpointEvent {}

  /** Other daemons reported their work on endpoints. */
  record ReportsReceived(List<FleetReport> reports) implements PeerEvent {}

  /** Another daemon counts as crashed. */
  record DaemonGone(HostIdentity daemon) implements PeerEvent {}

  /** Another daemon reported endpoints that crashed during requests. */
  record CrashesReceived(PeerCrashReport report) implements PeerEvent {}

  /** Another daemon may lack crashes that are known here. */
  record CrashesRequested(HostAddress daemon) implements PeerEvent {}

  /** The answers of other daemons, or of this one, to demands for permits. */
  record PermitsGranted(List<PermitGrant> grants) implements PeerEvent {}

  /** All the work of this host is to be reported to other daemons. */
  record WorkRequested(Consumer<List<EngineUpdate>> reply) implements PeerEvent {}

  /** The list of endpoints changed. */
  record ListingChanged(HostListing listing) implements EndpointEvent {}

  /** An endpoint reported that it restarted. */
  record EndpointRestarted(HostIdentity incarnation) implements EndpointEvent {}

  /**
   * Endpoints reported that they are shutting down.
   *
   * @param endpoints the incarnations that are shutting down
   * @param by the source of the report: the endpoint itself, or another daemon
   */
  record EndpointsShuttingDown(List<HostIdentity> endpoints, String by) implements EndpointEvent {}

  /** An incarnation of an endpoint was probed; if it is shutting down, that event came before. */
  record IncarnationProbed(HostIdentity incarnation) implements EndpointEvent {}

  /** The drained zones have changed. */
  record DrainedZonesChanged() implements EndpointEvent {}

  /** A backoff or a rate of an endpoint has changed. */
  record RestrictionsChanged() implements EndpointEvent {}

  /** A way to an endpoint was found: this host's link, or another host. */
  record EndpointReachable(HostIdentity endpoint) implements EndpointEvent {}

  /** An operator cleared the rejection of a request. */
  record RejectionCleared(String fingerprint) implements LifecycleEvent {}

  /** This host received the stop signal. */
  record StopSignaled(ShutdownWindow window) implements LifecycleEvent {}

  /**
   * A step of the watch of this host's lateness passes through the decision duty.
   *
   * @param onPassed runs there; must not block
   */
  record RoundPassing(Runnable onPassed) implements LifecycleEvent {}

  /**
   * The drain of this host ends now; all open requests receive their final answers.
   *
   * @param onAborted runs after all of these answers were queued; must not block
   */
  record DrainEnding(Runnable onAborted) implements LifecycleEvent {}
}
