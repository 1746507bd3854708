// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.List;
import java.util.function.Consumer;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.once.CallRegistry;
import org.fawndrum.coordination.once.ClaimAnswer;
import org.fawndrum.coordination.once.ClaimCoordinator.Sending;
import org.fawndrum.coordination.once.ClaimKey;
import org.fawndrum.coordination.once.Registration;
import org.fawndrum.protocol.EngineMessages.Load;
import org.fawndrum.protocol.LoadDigest;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.TableRevision;

/** An event for the decision thread. */
sealed interface HostEvent {
  /** A request arrived; {@code claim} is null if it may be repeated or has no key. */
  record RequestArrived(RequestFacts facts, ClaimInfo claim) implements HostEvent {}

  /** The key of a request that must not be repeated, and whether it is marked as a retry. */
  record ClaimInfo(ClaimKey key, Sending sending) {}

  /** An attempt changed its state. */
  record AttemptUpdated(AttemptId attempt, AttemptEvent event) implements HostEvent {}

  /** A caller closed its connection before its answer was complete. */
  record CallerDisconnected(String requestId) implements HostEvent {}

  /** A newer table is in force. */
  record TableChanged(TableRevision table) implements HostEvent {}

  /** A newer host list was read. */
  record HostsListed(HostListing listing) implements HostEvent {}

  /** An endpoint reported its load. */
  record LoadReported(HostIdentity listedAs, Load load) implements HostEvent {}

  /** A peer reported the load of the engines that it polls. */
  record PeerLoadsReported(List<LoadDigest.Entry> loads) implements HostEvent {}

  /** A peer reported that an endpoint is shutting down. */
  record EndpointDraining(HostIdentity endpoint) implements HostEvent {}

  /** A planned shutdown of this host was requested. */
  record DrainRequested() implements HostEvent {}

  /** A registration was read from the log. */
  record HostRegistered(Registration registration) implements HostEvent {}

  /** A heartbeat of another daemon was received. */
  record PeerSeen(HostIdentity identity) implements HostEvent {}

  /** A daemon is neither in the host list nor alive. */
  record PeerLost(HostIdentity identity) implements HostEvent {}

  /** The log was replayed to its end for the claim of a request. */
  record LogReadForClaim(String requestId) implements HostEvent {}

  /** Another daemon replied with the state of a key. */
  record ClaimAnswered(HostIdentity from, ClaimKey key, ClaimAnswer answer) implements HostEvent {}

  /** Another daemon requests the state of a key. */
  record ClaimRequested(ClaimKey key, Consumer<ClaimAnswer> reply) implements HostEvent {}

  /** Another daemon is retiring and hands over its keys. */
  record ClaimsHandedOver(List<CallRegistry.HandedOverKey> claims, Runnable acknowledge)
      implements HostEvent {}

  /** This daemon is retiring and its keys are requested for handover. */
  record HandoverRequested(Consumer<List<CallRegistry.HandedOverKey>> reply) implements HostEvent {}
}
