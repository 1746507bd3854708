// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.once.CallRegistry;
import org.fawndrum.coordination.once.ClaimAnswer;
import org.fawndrum.coordination.once.ClaimCoordinator;
import org.fawndrum.coordination.once.ClaimCoordinator.ClaimAction;
import org.fawndrum.coordination.once.ClaimKey;
import org.fawndrum.coordination.once.Registration;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * Resolves the claims of requests that must not be repeated: such a request is admitted only once
 * its claim shows that it may run on this host. Confined to the decision thread.
 */
final class ClaimHandler {
  private final ClaimCoordinator claims;
  private final Environment environment;
  private final Map<String, PendingCall> pendingCalls = new HashMap<>();
  private final Map<String, ClaimKey> runningKeys = new HashMap<>();

  /** A call whose claim is not resolved yet. */
  private record PendingCall(RequestFacts facts, ClaimKey key, boolean callerGone) {}

  /** Operations needed to resolve claims. Their results arrive as events on the decision thread. */
  interface Environment {
    /** Completes when the log is replayed to its current end; fails when it cannot be read. */
    CompletableFuture<Void> readLogToEnd();

    /** Requests the state of a key from another daemon; fails when it does not reply. */
    CompletableFuture<ClaimAnswer> requestClaim(
        HostIdentity identity, HostAddress address, ClaimKey key);

    /** Queues an event for the decision thread. */
    void enqueue(HostEvent event);

    /** Returns the current time in milliseconds. */
    long nowMs();

    /** Admits a call that may run on this host. */
    void admit(RequestFacts facts);

    /** Refuses a call. */
    void refuse(RequestFacts facts, Refusal refusal);
  }

  ClaimHandler(HostIdentity self, Environment environment) {
    this.claims = new ClaimCoordinator(self);
    this.environment = environment;
  }

  boolean registered() {
    return claims.members().isSelfRegistered();
  }

  void arrived(RequestFacts facts, HostEvent.ClaimInfo claim, long nowMs) {
    pendingCalls.put(facts.requestId(), new PendingCall(facts, claim.key(), false));
    carryOut(claims.arrive(facts.requestId(), claim.key(), claim.sending(), nowMs));
  }

  /** Called when a caller disconnected while the claim of its call was pending. */
  void callerGone(String requestId) {
    PendingCall call = pendingCalls.get(requestId);
    if (call != null) {
      pendingCalls.put(requestId, new PendingCall(call.facts(), call.key(), true));
    }
  }

  /** Returns the number of calls whose claim is pending. */
  int pendingCount() {
    return pendingCalls.size();
  }

  void tick(long nowMs) {
    carryOut(claims.tick(nowMs));
  }

  void logRead(String requestId, long nowMs) {
    carryOut(claims.logReplayed(requestId, nowMs));
  }

  void claimAnswered(HostEvent.ClaimAnswered event, long nowMs) {
    carryOut(claims.receiveAnswer(event.from(), event.key(), event.answer(), nowMs));
  }

  void claimRequested(HostEvent.ClaimRequested event, long nowMs) {
    event.reply().accept(claims.answerClaim(event.key(), nowMs));
  }

  void registered(Registration registration, long nowMs) {
    if (registration.retired()) {
      claims.members().retire(registration.identity());
    } else {
      claims.members().register(registration.identity(), registration.peerAddress(), nowMs);
    }
  }

  void peerSeen(HostIdentity identity) {
    claims.members().markAlive(identity);
  }

  void peerLost(HostIdentity identity, long nowMs) {
    claims.members().markLost(identity, nowMs);
  }

  void inherit(List<CallRegistry.HandedOverKey> handedOver) {
    claims.inherit(handedOver);
  }

  List<CallRegistry.HandedOverKey> handover() {
    return claims.registry().handover();
  }

  /** Called when a request has its final answer; has no effect for a request without a claim. */
  void requestCompleted(String requestId, Ran ran, long nowMs) {
    ClaimKey key = runningKeys.remove(requestId);
    if (key != null) {
      claims.recordOutcome(key, ran, nowMs);
    }
  }

  private void run(PendingCall call) {
    if (call.callerGone()) {
      claims.recordOutcome(call.key(), Ran.NO, environment.nowMs());
      return;
    }
    runningKeys.put(call.facts().requestId(), call.key());
    environment.admit(call.facts());
  }

  private void carryOut(List<ClaimAction> actions) {
    for (ClaimAction action : actions) {
      if (action instanceof ClaimAction.Run run) {
        run(pendingCalls.remove(run.requestId()));
      } else if (action instanceof ClaimAction.Refuse refuse) {
        environment.refuse(pendingCalls.remove(refuse.requestId()).facts(), refuse.refusal());
      } else if (action instanceof ClaimAction.ReadLogToEnd read) {
        environment
            .readLogToEnd()
            .thenRun(() -> environment.enqueue(new HostEvent.LogReadForClaim(read.requestId())));
      } else if (action instanceof ClaimAction.QueryHost query) {
        environment
            .requestClaim(query.identity(), query.address(), query.key())
            .thenAccept(
                answer ->
                    environment.enqueue(
                        new HostEvent.ClaimAnswered(query.identity(), query.key(), answer)));
      }
    }
  }
}
