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
 * Decides for one host whether a call that may not be repeated may run here. Takes events with
 * their time and gives back actions. Confined to one thread; reads no clock.
 */
public final class ClaimCoordinator {
  /** How long the other hosts are waited for, in milliseconds. */
  public static final long ROUND_MS = 1_000;

  private static final long RETRY_MS = 1_000;

  private final OnceLedger ledger = new OnceLedger();
  private final ClaimRoster roster;
  private final Map<String, Claim> claims = new HashMap<>();
  private final List<ClaimAction> out = new ArrayList<>();

  /** One request's claim; {@code round} is null until the log was read to its end. */
  private static final class Claim {
    final ClaimKey key;
    final long untilMs;
    ClaimRound round;

    Claim(ClaimKey key, long untilMs) {
      this.key = key;
      this.untilMs = untilMs;
    }
  }

  /** What a caller shows of an earlier sending of the same call. */
  public enum Sending {
    /** The caller counts its sendings and this is the first. */
    FIRST,
    /** The caller counts its sendings and this is a later one. */
    REPEAT,
    /** The caller does not count. */
    UNCOUNTED
  }

  /** Makes the coordinator of a host that has just started. */
  public ClaimCoordinator(HostIdentity self) {
    this.roster = new ClaimRoster(self);
  }

  /** Returns the roster, to be told of registrations. */
  public ClaimRoster roster() {
    return roster;
  }

  /** Returns the ledger, to be read. */
  public OnceLedger ledger() {
    return ledger;
  }

  /** Takes a request that needs a claim. */
  public List<ClaimAction> arrive(String requestId, ClaimKey key, Sending sending, long nowMs) {
    if (!roster.selfRegistered()) {
      Ran ran = sending == Sending.FIRST ? Ran.NO : Ran.UNKNOWN;
      return refuse(requestId, RefusalKind.NOT_REGISTERED, ran, RETRY_MS);
    }
    Optional<OnceLedger.State> known = ledger.state(key);
    if (known.isEmpty() && sending == Sending.FIRST) {
      return run(requestId, key, nowMs);
    }
    if (known.isEmpty() || known.get() == OnceLedger.State.PROMISED) {
      return ask(requestId, key, nowMs);
    }
    return switch (known.get()) {
      case NOT_RUN -> run(requestId, key, nowMs);
      case RAN -> refuse(requestId, RefusalKind.ALREADY_RAN, Ran.YES, Refusal.NEVER);
      case UNKNOWN -> refuse(requestId, RefusalKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, Refusal.NEVER);
      default -> refuse(requestId, RefusalKind.ALREADY_RUNNING, Ran.UNKNOWN, RETRY_MS);
    };
  }

  private List<ClaimAction> run(String requestId, ClaimKey key, long nowMs) {
    ledger.set(key, OnceLedger.State.RUNNING, nowMs);
    out.add(new ClaimAction.Run(requestId));
    return flush();
  }

  private List<ClaimAction> ask(String requestId, ClaimKey key, long nowMs) {
    ledger.set(key, OnceLedger.State.CLAIMING, nowMs);
    claims.put(requestId, new Claim(key, nowMs + ROUND_MS));
    out.add(new ClaimAction.ReadLogToEnd(requestId));
    return flush();
  }

  /**
   * Takes note that a read of the log which began after the request arrived has been replayed to
   * its end, so that the roster names everybody who could have run the call.
   */
  public List<ClaimAction> logRead(String requestId, long nowMs) {
    Claim claim = claims.get(requestId);
    if (claim == null || claim.round != null) {
      return flush();
    }
    if (roster.proofImpossible(nowMs)) {
      giveUp(requestId, claim, ClaimRound.Verdict.HELD, nowMs);
      return flush();
    }
    List<ClaimRoster.Asked> others = roster.others();
    claim.round =
        new ClaimRound(
            others.stream().map(ClaimRoster.Asked::identity).collect(Collectors.toSet()));
    for (ClaimRoster.Asked other : others) {
      out.add(new ClaimAction.Ask(other.identity(), other.address(), claim.key));
    }
    decide(requestId, claim, nowMs);
    return flush();
  }

  /** Takes another host's answer. */
  public List<ClaimAction> answered(
      HostIdentity from, ClaimKey key, ClaimAnswer answer, long nowMs) {
    for (Map.Entry<String, Claim> one : List.copyOf(claims.entrySet())) {
      Claim claim = one.getValue();
      if (claim.key.equals(key) && claim.round != null) {
        claim.round.answered(from, answer);
        decide(one.getKey(), claim, nowMs);
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
      ledger.set(claim.key, OnceLedger.State.RUNNING, nowMs);
      out.add(new ClaimAction.Run(requestId));
      return;
    }
    giveUp(requestId, claim, verdict, nowMs);
  }

  private void giveUp(String requestId, Claim claim, ClaimRound.Verdict verdict, long nowMs) {
    claims.remove(requestId);
    // Others may have run the call, so that this host must ask again before it may run it.
    ledger.set(claim.key, OnceLedger.State.PROMISED, nowMs);
    Refusal refusal =
        verdict == ClaimRound.Verdict.RAN
            ? Refusal.of(RefusalKind.ALREADY_RAN, Ran.YES, Refusal.NEVER)
            : Refusal.of(RefusalKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, RETRY_MS);
    out.add(new ClaimAction.Refuse(requestId, refusal));
  }

  private List<ClaimAction> refuse(String requestId, RefusalKind kind, Ran ran, long retryMs) {
    out.add(new ClaimAction.Refuse(requestId, Refusal.of(kind, ran, retryMs)));
    return flush();
  }

  /** Answers another host that wants to run a call. */
  public ClaimAnswer asked(ClaimKey key, long nowMs) {
    return ledger.asked(key, nowMs);
  }

  /** Takes note of how a call that ran here, or was to run here, has ended. */
  public void settled(ClaimKey key, Ran ran, long nowMs) {
    ledger.settle(key, ran, nowMs);
  }

  /** Takes over the keys of a host that stops for good. */
  public void inherit(List<OnceLedger.Inherited> handed) {
    ledger.inherit(handed);
  }

  /** Gives up on rounds whose answers did not come, and forgets old keys. */
  public List<ClaimAction> tick(long nowMs) {
    for (Map.Entry<String, Claim> one : List.copyOf(claims.entrySet())) {
      if (nowMs >= one.getValue().untilMs) {
        giveUp(one.getKey(), one.getValue(), ClaimRound.Verdict.HELD, nowMs);
      }
    }
    ledger.forgetOld(nowMs);
    return flush();
  }

  private List<ClaimAction> flush() {
    List<ClaimAction> actions = List.copyOf(out);
    out.clear();
    return actions;
  }

  /** What the claims ask the layers around them to do. */
  public sealed interface ClaimAction {
    /** The call may run here: hand it to admission. */
    record Run(String requestId) implements ClaimAction {}

    /** Give the caller its final answer. */
    record Refuse(String requestId, Refusal refusal) implements ClaimAction {}

    /** Read the log to its end, beginning now, and replay it. */
    record ReadLogToEnd(String requestId) implements ClaimAction {}

    /** Ask another host about a key. */
    record Ask(HostIdentity identity, HostAddress address, ClaimKey key) implements ClaimAction {}
  }
}
