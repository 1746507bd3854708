// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.List;
import java.util.function.Consumer;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.once.ClaimAnswer;
import org.fawndrum.coordination.once.ClaimCoordinator.Sending;
import org.fawndrum.coordination.once.ClaimKey;
import org.fawndrum.coordination.once.OnceLedger;
import org.fawndrum.coordination.once.Registration;
import org.fawndrum.protocol.EngineMessages.Load;
import org.fawndrum.protocol.LoadDigest;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.TableRevision;

/** An event for the thread that decides. */
sealed interface HostEvent {
  /** A request came in; {@code claim} is null for one that needs none. */
  record Arrived(RequestFacts facts, Claimed claim) implements HostEvent {}

  /** The key of a call that may not be repeated, and what its caller shows of earlier sendings. */
  record Claimed(ClaimKey key, Sending sending) {}

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

  /** A peer tells the load of the endpoints that it watches. */
  record LoadsTold(List<LoadDigest.Entry> loads) implements HostEvent {}

  /** A peer says that an endpoint is leaving. */
  record SaidLeaving(HostIdentity endpoint) implements HostEvent {}

  /** The host is to be stopped. */
  record DrainOrdered() implements HostEvent {}

  /** The log registers an incarnation. */
  record Registered(Registration registration) implements HostEvent {}

  /** Another daemon was heard of. */
  record PeerHeard(HostIdentity identity) implements HostEvent {}

  /** A daemon is neither listed nor heard of. */
  record PeerLost(HostIdentity identity) implements HostEvent {}

  /** The log was read to its end for a claim. */
  record ClaimLogRead(String requestId) implements HostEvent {}

  /** Another daemon answered about a key. */
  record ClaimAnswered(HostIdentity from, ClaimKey key, ClaimAnswer answer) implements HostEvent {}

  /** Another daemon asks about a key. */
  record ClaimAsked(ClaimKey key, Consumer<ClaimAnswer> reply) implements HostEvent {}

  /** Another daemon stops for good and hands its keys over. */
  record Inherited(List<OnceLedger.Inherited> handed, Runnable taken) implements HostEvent {}

  /** This daemon stops for good: its keys are wanted for others. */
  record HandoverWanted(Consumer<List<OnceLedger.Inherited>> reply) implements HostEvent {}
}
