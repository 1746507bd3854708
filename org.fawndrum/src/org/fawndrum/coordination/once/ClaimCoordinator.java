// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * Decides for one host whether a request that must not be repeated may run here. Takes timestamped
 * events and returns actions. Confined to one thread; reads no clock.
 */
public final class ClaimCoordinator {
  /** Maximum time to wait for the answers of other hosts, in milliseconds. */
  public static final long ROUND_TIMEOUT_MS = 1_000;

  private static final long RETRY_MS = 1_000;

  private final CallRegistry registry = new CallRegistry();
  private final ClaimMembers members;
  private final Map<String, Claim> claims = new HashMap<>();
  private final List<ClaimAction> pendingActions = new ArrayList<>();

  /** The claim of one request; {@code round} is null until the log is replayed to its end. */
  private static final class Claim {
    final ClaimKey key;
    final long deadlineMs;
    ClaimRound round;

    Claim(ClaimKey key, long deadlineMs) {
      this.key = key;
      this.deadlineMs = deadlineMs;
    }
  }

  /** What the caller states about earlier sendings of a call. */
  public enum Sending {
    /** The caller counts its sendings, and this is the first. */
    FIRST,
    /** The caller counts its sendings, and this is a later one. */
    REPEAT,
    /** The caller does not count its sendings. */
    UNCOUNTED
  }

  /** Creates the coordinator of a host that has just started. */
  public ClaimCoordinator(HostIdentity self) {
    this.members = new ClaimMembers(self);
  }

  /** Returns the members, to be notified of registrations. */
  public ClaimMembers members() {
    return members;
  }

  /** Returns the call registry, for reading. */
  public CallRegistry registry() {
    return registry;
  }

  /** Begins the claim of a request; returns the actions to carry out. */
  public List<ClaimAction> arrive(String requestId, ClaimKey key, Sending sending, long nowMs) {
    if (!members.isSelfRegistered()) {
      Ran ran = sending == Sending.FIRST ? Ran.NO : Ran.UNKNOWN;
      return refuse(requestId, RefusalKind.NOT_REGISTERED, ran, RETRY_MS);
    }
    Optional<CallRegistry.State> state = registry.state(key);
    if (state.isEmpty() && sending == Sending.FIRST) {
      return run(requestId, key, nowMs);
    }
    if (state.isEmpty() || state.get() == CallRegistry.State.PROMISED) {
      return startClaim(requestId, key, nowMs);
    }
    return switch (state.get()) {
      case NOT_RUN -> run(requestId, key, nowMs);
      case RAN -> refuse(requestId, RefusalKind.ALREADY_RAN, Ran.YES, Refusal.NEVER);
      case UNKNOWN -> refuse(requestId, RefusalKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, Refusal.NEVER);
      default -> refuse(requestId, RefusalKind.ALREADY_RUNNING, Ran.UNKNOWN, RETRY_MS);
    };
  }

  private List<ClaimAction> run(String requestId, ClaimKey key, long nowMs) {
    registry.set(key, CallRegistry.State.RUNNING, nowMs);
    pendingActions.add(new ClaimAction.Run(requestId));
    return flush();
  }

  private List<ClaimAction> startClaim(String requestId, ClaimKey key, long nowMs) {
    registry.set(key, CallRegistry.State.CLAIMING, nowMs);
    claims.put(requestId, new Claim(key, nowMs + ROUND_TIMEOUT_MS));
    pendingActions.add(new ClaimAction.ReadLogToEnd(requestId));
    return flush();
  }

  /**
   * Called when a read of the log that began after the request arrived has been replayed to its
   * end: the members then include every host that may have run the call.
   */
  public List<ClaimAction> logReplayed(String requestId, long nowMs) {
    Claim claim = claims.get(requestId);
    if (claim == null || claim.round != null) {
      return flush();
    }
    if (members.isProofImpossible(nowMs)) {
      giveUp(requestId, claim, ClaimRound.Verdict.HELD, nowMs);
      return flush();
    }
    List<ClaimMembers.Target> others = members.others();
    claim.round =
        new ClaimRound(
            others.stream().map(ClaimMembers.Target::identity).collect(Collectors.toSet()));
    for (ClaimMembers.Target other : others) {
      pendingActions.add(new ClaimAction.QueryHost(other.identity(), other.address(), claim.key));
    }
    decide(requestId, claim, nowMs);
    return flush();
  }

  /** Records the answer of another host; returns the actions to carry out. */
  public List<ClaimAction> receiveAnswer(
      HostIdentity from, ClaimKey key, ClaimAnswer answer, long nowMs) {
    for (Map.Entry<String, Claim> entry : List.copyOf(claims.entrySet())) {
      Claim claim = entry.getValue();
      if (claim.key.equals(key) && claim.round != null) {
        claim.round.addAnswer(from, answer);
        decide(entry.getKey(), claim, nowMs);
      }
    }
    return flush();
  }

  private void decide(String requestId, Claim claim, long nowMs) {
    ClaimRound.Verdict verdict = claim.round.verdict();
    if (verdict == ClaimRound.Verdict.OPEN) {
      return;
    }
    if (verdict == ClaimRound.Verdict.GRANTED) {
      claims.remove(requestId);
      registry.set(claim.key, CallRegistry.State.RUNNING, nowMs);
      pendingActions.add(new ClaimAction.Run(requestId));
      return;
    }
    giveUp(requestId, claim, verdict, nowMs);
  }

  private void giveUp(String requestId, Claim claim, ClaimRound.Verdict verdict, long nowMs) {
    claims.remove(requestId);
    // Another host may have run the call, so this host must query all others again before it may
    // run it.
    registry.set(claim.key, CallRegistry.State.PROMISED, nowMs);
    Refusal refusal =
        verdict == ClaimRound.Verdict.RAN
            ? Refusal.of(RefusalKind.ALREADY_RAN, Ran.YES, Refusal.NEVER)
            : Refusal.of(RefusalKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, RETRY_MS);
    pendingActions.add(new ClaimAction.Refuse(requestId, refusal));
  }

  private List<ClaimAction> refuse(String requestId, RefusalKind kind, Ran ran, long retryMs) {
    pendingActions.add(new ClaimAction.Refuse(requestId, Refusal.of(kind, ran, retryMs)));
    return flush();
  }

  /** Answers another host that asks whether it may run a call. */
  public ClaimAnswer answerClaim(ClaimKey key, long nowMs) {
    return registry.answerClaim(key, nowMs);
  }

  /** Records the outcome of a call that ran here or was to run here. */
  public void recordOutcome(ClaimKey key, Ran ran, long nowMs) {
    registry.recordOutcome(key, ran, nowMs);
  }

  /** Adds the keys that a host handed over at its shutdown. */
  public void inherit(List<CallRegistry.HandedOverKey> handed) {
    registry.inherit(handed);
  }

  /** Fails claims whose answers did not come in time, and removes expired keys. */
  public List<ClaimAction> tick(long nowMs) {
    for (Map.Entry<String, Claim> entry : List.copyOf(claims.entrySet())) {
      if (nowMs >= entry.getValue().deadlineMs) {
        giveUp(entry.getKey(), entry.getValue(), ClaimRound.Verdict.HELD, nowMs);
      }
    }
    registry.removeExpired(nowMs);
    return flush();
  }

  private List<ClaimAction> flush() {
    List<ClaimAction> actions = List.copyOf(pendingActions);
    pendingActions.clear();
    return actions;
  }

  /** An action for the layers around the claims. */
  public sealed interface ClaimAction {
    /** Admit the call: it may run here. */
    record Run(String requestId) implements ClaimAction {}

    /** Send the caller its final answer. */
    record Refuse(String requestId, Refusal refusal) implements ClaimAction {}

    /** Replay the log up to its end, by a read that begins now. */
    record ReadLogToEnd(String requestId) implements ClaimAction {}

    /** Query another host about a key. */
    record QueryHost(HostIdentity identity, HostAddress address, ClaimKey key)
        implements ClaimAction {}
  }
}
