// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.function.Consumer;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.RouteTable;
import org.fawndrum.state.TableRevision;

/** An event for the thread that decides. */
sealed interface RelayEvent {
  /** A request came in. */
  record Arrived(RequestFacts facts) implements RelayEvent {}

  /** Something happened to an attempt. */
  record Attempted(AttemptId attempt, AttemptEvent event) implements RelayEvent {}

  /** A caller closed its connection. */
  record CallerGone(String requestId) implements RelayEvent {}

  /** A newer configuration is in force. */
  record RoutesChanged(RouteTable routes, TableRevision table) implements RelayEvent {}

  /** Another daemon tells about its work at endpoints; {@code all} when it names all of it. */
  record Told(HostIdentity from, List<EngineNews> news, boolean all) implements RelayEvent {}

  /** Another daemon is gone. */
  record DaemonGone(HostIdentity daemon) implements RelayEvent {}

  /** All the work of this host is wanted for other daemons. */
  record WorkWanted(Consumer<List<EngineNews>> reply) implements RelayEvent {}

  /** The list of endpoints changed. */
  record Listed(HostListing listing) implements RelayEvent {}
}
