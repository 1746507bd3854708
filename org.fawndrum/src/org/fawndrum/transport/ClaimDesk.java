// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.once.ClaimAnswer;
import org.fawndrum.coordination.once.ClaimCoordinator;
import org.fawndrum.coordination.once.ClaimCoordinator.ClaimAction;
import org.fawndrum.coordination.once.ClaimKey;
import org.fawndrum.coordination.once.OnceLedger;
import org.fawndrum.coordination.once.Registration;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * Stands between arriving calls that may not be repeated and admission: only what may run here goes
 * on. Confined to the thread that decides.
 */
final class ClaimDesk {
  private final ClaimCoordinator claims;
  private final Outside outside;
  private final Map<String, Waiting> waiting = new HashMap<>();
  private final Map<String, ClaimKey> running = new HashMap<>();

  /** A call that waits for its claim. */
  private record Waiting(RequestFacts facts, ClaimKey key, boolean callerGone) {}

  /** What claims need from the layers around them. The events come back on the same thread. */
  interface Outside {
    /** Reads the log to its end; fails when that cannot be done. */
    CompletableFuture<Void> readLogToEnd();

    /** Asks another daemon; fails when it does not answer. */
    CompletableFuture<ClaimAnswer> ask(HostIdentity identity, HostAddress address, ClaimKey key);

    /** Hands an event to the thread that decides. */
    void later(HostEvent event);

    /** Returns the time. */
    long nowMs();

    /** Admits a call that may run here. */
    void admit(RequestFacts facts);

    /** Refuses a call. */
    void refuse(RequestFacts facts, Refusal refusal);
  }

  ClaimDesk(HostIdentity self, Outside outside) {
    this.claims = new ClaimCoordinator(self);
    this.outside = outside;
  }

  boolean registered() {
    return claims.roster().selfRegistered();
  }

  void arrived(RequestFacts facts, HostEvent.Claimed claim, long nowMs) {
    waiting.put(facts.requestId(), new Waiting(facts, claim.key(), false));
    carryOut(claims.arrive(facts.requestId(), claim.key(), claim.sending(), nowMs));
  }

  /** Takes note that a caller went away while its call waited for its claim. */
  void callerGone(String requestId) {
    Waiting call = waiting.get(requestId);
    if (call != null) {
      waiting.put(requestId, new Waiting(call.facts(), call.key(), true));
    }
  }

  /** Returns how many calls wait for their claim. */
  int waiting() {
    return waiting.size();
  }

  void tick(long nowMs) {
    carryOut(claims.tick(nowMs));
  }

  void logRead(String requestId, long nowMs) {
    carryOut(claims.logRead(requestId, nowMs));
  }

  void answered(HostEvent.ClaimAnswered answered, long nowMs) {
    carryOut(claims.answered(answered.from(), answered.key(), answered.answer(), nowMs));
  }

  void asked(HostEvent.ClaimAsked asked, long nowMs) {
    asked.reply().accept(claims.asked(asked.key(), nowMs));
  }

  void registered(Registration registration, long nowMs) {
    if (registration.retired()) {
      claims.roster().retired(registration.identity());
    } else {
      claims.roster().registered(registration.identity(), registration.peerAddress(), nowMs);
    }
  }

  void heard(HostIdentity identity) {
    claims.roster().heard(identity);
  }

  void lost(HostIdentity identity, long nowMs) {
    claims.roster().lost(identity, nowMs);
  }

  void inherit(List<OnceLedger.Inherited> handed) {
    claims.inherit(handed);
  }

  List<OnceLedger.Inherited> handover() {
    return claims.ledger().handover();
  }

  /** Takes note that a request has its final answer; does nothing for one without a claim. */
  void ended(String requestId, Ran ran, long nowMs) {
    ClaimKey key = running.remove(requestId);
    if (key != null) {
      claims.settled(key, ran, nowMs);
    }
  }

  private void run(Waiting call) {
    if (call.callerGone()) {
      claims.settled(call.key(), Ran.NO, outside.nowMs());
      return;
    }
    running.put(call.facts().requestId(), call.key());
    outside.admit(call.facts());
  }

  private void carryOut(List<ClaimAction> actions) {
    for (ClaimAction action : actions) {
      if (action instanceof ClaimAction.Run run) {
        run(waiting.remove(run.requestId()));
      } else if (action instanceof ClaimAction.Refuse refuse) {
        outside.refuse(waiting.remove(refuse.requestId()).facts(), refuse.refusal());
      } else if (action instanceof ClaimAction.ReadLogToEnd read) {
        outside
            .readLogToEnd()
            .thenRun(() -> outside.later(new HostEvent.ClaimLogRead(read.requestId())));
      } else if (action instanceof ClaimAction.Ask ask) {
        outside
            .ask(ask.identity(), ask.address(), ask.key())
            .thenAccept(
                answer ->
                    outside.later(new HostEvent.ClaimAnswered(ask.identity(), ask.key(), answer)));
      }
    }
  }
}
