// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.function.Consumer;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.StopWindow;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.RouteTable;
import org.fawndrum.state.TableRevision;

/** An event for the thread that decides. */
sealed interface RelayEvent {
  /** An event of one request. */
  sealed interface OfRequest extends RelayEvent {}

  /** An event of another daemon, or for one. */
  sealed interface OfDaemon extends RelayEvent {}

  /** An event of the operators' configuration or of the endpoints. */
  sealed interface OfEndpoints extends RelayEvent {}

  /** An event of this host's own life. */
  sealed interface OfHost extends RelayEvent {}

  /** A request came in. */
  record Arrived(RequestFacts facts) implements OfRequest {}

  /** Something happened to an attempt. */
  record Attempted(AttemptId attempt, AttemptEvent event) implements OfRequest {}

  /** The endpoint of an attempt ended under it; the attempt fails next. */
  record EndpointEnded(AttemptId attempt) implements OfRequest {}

  /** One of an attempt's helpers keeps it from being taken. */
  record HelperRefused(AttemptId attempt, HostIdentity helper) implements OfRequest {}

  /** A caller closed its connection. */
  record CallerGone(String requestId) implements OfRequest {}

  /** A newer configuration is in force. */
  record RoutesChanged(RouteTable routes, TableRevision table) implements OfEndpoints {}

  /** Other daemons tell about their work at endpoints. */
  record Told(List<FleetReport> reports) implements OfDaemon {}

  /** Another daemon is gone. */
  record DaemonGone(HostIdentity daemon) implements OfDaemon {}

  /** Another daemon tells about endpoints that ended under requests. */
  record CrashesTold(CrashesFrom told) implements OfDaemon {}

  /** Another daemon may know less about such endpoints than this one. */
  record CrashesWanted(HostAddress by) implements OfDaemon {}

  /** All the work of this host is wanted for other daemons. */
  record WorkWanted(Consumer<List<EngineNews>> reply) implements OfDaemon {}

  /** The list of endpoints changed. */
  record Listed(HostListing listing) implements OfEndpoints {}

  /** An endpoint says that it has started again. */
  record Restarted(HostIdentity start) implements OfEndpoints {}

  /**
   * An endpoint says that it leaves.
   *
   * @param endpoints the starts that do
   * @param by who told: the endpoint itself, or another daemon
   */
  record Leaving(List<HostIdentity> endpoints, String by) implements OfEndpoints {}

  /** A start of an endpoint was asked whether it leaves; if so, that event came before. */
  record StartAsked(HostIdentity start) implements OfEndpoints {}

  /** Some endpoint asked this host for rest. */
  record RestAsked() implements OfEndpoints {}

  /** An operator lets a request go that was turned away. */
  record LetGo(String fingerprint) implements OfHost {}

  /** This host was told to stop. */
  record StopOrdered(StopWindow window) implements OfHost {}

  /**
   * This host ends now; what is open gets its final answer.
   *
   * @param decided runs once all of these were ordered; must not block
   */
  record Ending(Runnable decided) implements OfHost {}
}
