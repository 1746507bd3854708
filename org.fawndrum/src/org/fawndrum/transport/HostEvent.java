// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.protocol.EngineMessages.Load;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.TableRevision;

/** An event for the thread that decides. */
sealed interface HostEvent {
  /** A request came in. */
  record Arrived(RequestFacts facts) implements HostEvent {}

  /** Something happened to an attempt. */
  record Attempted(AttemptId attempt, AttemptEvent event) implements HostEvent {}

  /** A caller closed its connection. */
  record CallerGone(String requestId) implements HostEvent {}

  /** A newer table is in force. */
  record TableChanged(TableRevision table) implements HostEvent {}

  /** The platform's list was read. */
  record Listed(HostListing listing) implements HostEvent {}

  /** An endpoint reported its load. */
  record Loaded(HostIdentity listedAs, Load load) implements HostEvent {}

  /** A peer says that an endpoint is leaving. */
  record SaidLeaving(HostIdentity endpoint) implements HostEvent {}

  /** The host is to be stopped. */
  record DrainOrdered() implements HostEvent {}
}
