// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.fawndrum.coordination.crash.CrashFinding;
import org.fawndrum.coordination.crash.CrashLedger;
import org.fawndrum.coordination.crash.CrashNews;
import org.fawndrum.coordination.crash.CrashVerdict;
import org.fawndrum.coordination.crash.EndpointCrash;
import org.fawndrum.coordination.crash.RefusedRequest;
import org.fawndrum.coordination.crash.RequestContent;
import org.fawndrum.state.HostIdentity;

/**
 * Keeps requests that end endpoints from being sent: over tries, because the ledger outlives them,
 * and over hosts, which tell each other. Confined to the coordinator's thread; times are those of
 * the host's clock, in milliseconds.
 */
public final class SuspectRequests {
  /** How often requests that are held are looked at, in milliseconds. */
  private static final long LOOK_MS = 20;

  private final CrashLedger ledger;
  private final List<LiveRequest> held = new ArrayList<>();
  private final LostAttempts lost = new LostAttempts();
  private final EndpointBook endpoints;
  private final BooleanSupplier hearsAll;
  private final List<Action> out;
  private boolean newlyRefused;
  private long lookMs = Long.MAX_VALUE;

  SuspectRequests(
      HostIdentity self, EndpointBook endpoints, BooleanSupplier hearsAll, List<Action> out) {
    this.ledger = new CrashLedger(self);
    this.endpoints = endpoints;
    this.hearsAll = hearsAll;
    this.out = out;
  }

  /** Tells whether a request is turned away. */
  boolean refuses(RequestFacts facts, long nowMs) {
    return ledger.verdict(facts.content(), nowMs) == CrashVerdict.REFUSED;
  }

  /** Keeps a request for a moment if it must not be sent before more is known; tells whether. */
  boolean holds(LiveRequest request, long nowMs) {
    giveBackTurn(request);
    return !mayGo(request, nowMs) && hold(request, nowMs);
  }

  /**
   * Does the same with a request for which there is an endpoint now: what is known of it may have
   * changed while it waited, or its turn may have passed.
   */
  boolean holdsAgain(LiveRequest request, long nowMs) {
    RequestContent content = request.facts.content();
    boolean hasTurn = request.turn != null && ledger.lasts(request.turn, nowMs);
    return !hasTurn && ledger.needsTurn(content) && holds(request, nowMs);
  }

  private boolean hold(LiveRequest request, long nowMs) {
    lookMs = Math.min(lookMs, nowMs + LOOK_MS);
    return held.add(request);
  }

  /** Tells whether a request that is not turned away may go on now; it has its turn then. */
  private boolean mayGo(LiveRequest request, long nowMs) {
    RequestContent content = request.facts.content();
    CrashVerdict verdict = ledger.verdict(content, nowMs);
    if (verdict != CrashVerdict.FREE || !ledger.needsTurn(content)) {
      return verdict != CrashVerdict.HELD;
    }
    tell(ledger.askTurn(content, nowMs));
    request.turn = ledger.beginTurn(content, nowMs).orElse(null);
    return request.turn != null;
  }

  /**
   * Returns the end of a request that is in quarantine until after its deadline; null for any
   * other. Its caller is asked back for the time at which a copy may run again.
   */
  Refusal quarantinedTooLong(LiveRequest request, long nowMs) {
    long untilMs = ledger.quarantinedUntilMs(request.facts.content());
    return untilMs > request.deadlineMs
        ? EndRules.unavailable(request, RefusalKind.QUARANTINED, untilMs - nowMs)
        : null;
  }

  private void giveBackTurn(LiveRequest request) {
    if (request.turn == null) {
      return;
    }
    LiveRequest.Attempt last = request.last();
    boolean inTurn = last != null && last.sentMs >= request.turn.atMs();
    boolean spent = inTurn && !last.endSeen && last.mayHaveRunInVain();
    if (spent) {
      tell(ledger.spendTurn(request.turn));
    } else {
      ledger.endTurn(request.turn);
    }
    request.turn = null;
  }

  /** Returns those of some endpoints at which a request meets no other that is suspected. */
  List<EndpointState> isolated(LiveRequest request, List<EndpointState> candidates) {
    RequestContent content = request.facts.content();
    if (!ledger.isIsolated(content)) {
      return candidates;
    }
    return candidates.stream()
        .filter(one -> ledger.mayRunAt(content, one.endpoint().identity()))
        .toList();
  }

  /** Forgets a request that has its final answer. */
  void end(LiveRequest request) {
    held.remove(request);
    giveBackTurn(request);
  }

  /**
   * Takes note that the endpoint of an attempt ended under it. One that was to leave ends as
   * planned, which says nothing.
   */
  void endpointEnded(LiveRequest request, LiveRequest.Attempt attempt, long nowMs) {
    HostIdentity endpoint = attempt.endpoint.endpoint().identity();
    endpoints.ended(endpoint, nowMs);
    if (endpoints.isOpen(endpoint)) {
      attempt.endSeen = true;
      crashed(lost(request, attempt, nowMs));
      lost.endedWith(endpoint, nowMs).forEach(this::crashed);
    }
  }

  /** Takes note of the end of an attempt; why its connection broke may be heard later. */
  void attemptEnded(LiveRequest request, LiveRequest.Attempt attempt, boolean isLost, long nowMs) {
    boolean unexplained = isLost && !attempt.endSeen;
    if (unexplained && endpoints.isOpen(attempt.endpoint.endpoint().identity())) {
      lost.add(lost(request, attempt, nowMs));
    }
  }

  /** Takes note that the endpoint of an attempt started again and took the request with it. */
  void endpointRestarted(LiveRequest request, LiveRequest.Attempt attempt, long nowMs) {
    attempt.endSeen = true;
    crashed(lost(request, attempt, nowMs));
  }

  /** Takes note of starts that are over: connections that broke lately ended with them. */
  void startsAreOver(Predicate<HostIdentity> over, long nowMs) {
    lost.startedAgain(over, nowMs).forEach(this::brokeBefore);
  }

  private void brokeBefore(LostAttempts.Lost one) {
    one.content()
        .fingerprint()
        .ifPresent(
            print -> tell(ledger.startIsOver(one.endpoint(), print, one.sentMs(), one.atMs())));
  }

  private static LostAttempts.Lost lost(
      LiveRequest request, LiveRequest.Attempt attempt, long nowMs) {
    HostIdentity endpoint = attempt.endpoint.endpoint().identity();
    return new LostAttempts.Lost(request.facts.content(), endpoint, attempt.sentMs, nowMs);
  }

  private void crashed(LostAttempts.Lost one) {
    one.content()
        .fingerprint()
        .ifPresent(print -> tell(ledger.crashed(one.endpoint(), print, one.sentMs(), one.atMs())));
  }

  /** Takes note that an endpoint gave a request's whole answer and lived on. */
  void served(LiveRequest request, long nowMs) {
    tell(ledger.served(request.facts.content(), nowMs));
  }

  /** Takes what another host tells. */
  public void heard(CrashNews news, long nowMs) {
    tell(ledger.heard(news, nowMs));
    for (EndpointCrash crash : news.crashes()) {
      lost.endedWith(crash.endpoint(), crash.atMs()).forEach(this::crashed);
    }
  }

  /** Decides on what is old enough, and hands back the requests that were held until now. */
  void decide(long nowMs, Consumer<LiveRequest> released) {
    if (nowMs >= ledger.dueMs()) {
      ledger.hearsAll(hearsAll.getAsBoolean());
    }
    List<RefusedRequest> news = ledger.decide(nowMs);
    if (!news.isEmpty()) {
      tell(CrashNews.ofRefused(news));
    }
    release(nowMs, released);
  }

  private void release(long nowMs, Consumer<LiveRequest> released) {
    for (LiveRequest request : List.copyOf(held)) {
      if (mayGo(request, nowMs) || quarantinedTooLong(request, nowMs) != null) {
        held.remove(request);
        released.accept(request);
      }
    }
    lookMs = held.isEmpty() ? Long.MAX_VALUE : nowMs + LOOK_MS;
  }

  private void tell(CrashNews news) {
    newlyRefused |= !news.refused().isEmpty();
    if (!news.isEmpty()) {
      out.add(new Action.TellCrashes(news));
    }
  }

  /** Tells whether requests are turned away that were not when this was last asked. */
  boolean takeNewlyRefused() {
    boolean some = newlyRefused;
    newlyRefused = false;
    return some;
  }

  /** Returns why requests with many ends were not turned away, when that changed since last. */
  public List<CrashFinding> takeFindings() {
    return ledger.takeFindings();
  }

  /** Returns when {@link #decide} has something to do next, or {@link Long#MAX_VALUE}. */
  long dueMs() {
    return Math.min(lookMs, ledger.dueMs());
  }

  /** Returns a number that two hosts which know the same have in common. */
  public long summary() {
    return ledger.summary();
  }

  /** Lets a request go, by the fingerprint that logs and operators name. */
  public void letGo(String fingerprint, long nowMs) {
    for (RefusedRequest one : ledger.refused()) {
      if (one.request().toString().equals(fingerprint)) {
        tell(ledger.letGo(one.request(), nowMs));
      }
    }
  }

  /** Returns the requests that are turned away now. */
  public List<RefusedRequest> refused() {
    return ledger.refused();
  }

  /** Returns all that this host knows, for one that may know less. */
  public CrashNews all() {
    return ledger.all();
  }
}
