// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.coordination.RequestFacts;
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

  /** The list of endpoints changed. */
  record Listed(HostListing listing) implements RelayEvent {}

  /** An endpoint was found to be leaving or gone. */
  record Leaving(HostIdentity endpoint) implements RelayEvent {}
}
