// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.state.HostIdentity;

/**
 * Which requests end the endpoints that run them, from what all hosts saw. A query of death comes
 * again after each failure, at any host, so that it is the request that has to be kept in mind,
 * over tries, hosts and endpoints.
 *
 * <p>An endpoint that ends takes all its requests with it, and all but one are innocent. A request
 * is turned away only when three endpoints ended under it, at two moments or more, and nothing else
 * explains it ({@link CrashRules}). The evidence is kept for as long as news need before it counts.
 *
 * <p>Hosts tell each other their evidence; {@link #heard} takes it in any order and repetition.
 * Confined to one thread; times are those of the host's clock, in milliseconds.
 */
public final class CrashLedger {
  /** How long a request is turned away after it came last. */
  static final long FORGIVE_MS = 3_600_000;

  /** The requests that are turned away at most; beyond, the one that came last longest ago goes. */
  static final int MOST_REFUSED = 256;

  private final CrashHistory history = new CrashHistory();
  private final Map<RequestFingerprint, Refused> refused = new LinkedHashMap<>();
  private final Map<RequestFingerprint, Long> servedMs = new LinkedHashMap<>();
  private final Map<RequestFingerprint, Long> pardonedMs = new LinkedHashMap<>();
  private final CrashRules rules = new CrashRules(history, refused, servedMs);
  private final SuspectTurns turns;
  private final SpentTurns spent = new SpentTurns();
  private Set<RequestFingerprint> suspects = Set.of();
  private Set<Long> lengths = Set.of();
  private long summary;
  private boolean summaryIsOld;
  private List<RefusedRequest> refusedNow = List.of();
  private final CrashFindings findings = new CrashFindings();
  private long dueMs = Long.MAX_VALUE;

  /** A request that is turned away, and when it came last. */
  private static final class Refused {
    final RefusedRequest record;
    long lastMs;

    Refused(RefusedRequest record, long lastMs) {
      this.record = record;
      this.lastMs = lastMs;
    }
  }

  /**
   * Makes a ledger that knows of no crash.
   *
   * @param self the host that keeps it
   */
  public CrashLedger(HostIdentity self) {
    this.turns = new SuspectTurns(self);
  }

  /** Takes note whether this host hears all others that it knows, and so what they saw. */
  public void hearsAll(boolean all) {
    history.hearsAll(all);
  }

  /**
   * Takes note that an endpoint ended while it had a request; returns what is news.
   *
   * @param takenMs when it was sent the request
   */
  public CrashNews crashed(
      HostIdentity endpoint, RequestFingerprint request, long takenMs, long nowMs) {
    EndpointCrash crash = new EndpointCrash(endpoint, takenMs, nowMs, Set.of(request));
    EndpointCrash news = add(crash, nowMs);
    return news == null ? CrashNews.NONE : CrashNews.of(news);
  }

  /**
   * Takes note that a start is over to which the connection of a request had broken before, for a
   * cause that no host saw. A start whose end is known at another time did not end then.
   *
   * @param takenMs when it was sent the request
   * @param brokenMs when the connection broke
   */
  public CrashNews startIsOver(
      HostIdentity start, RequestFingerprint request, long takenMs, long brokenMs) {
    EndpointCrash crash = new EndpointCrash(start, takenMs, brokenMs, Set.of(request));
    return history.knowsAnotherEnd(crash)
        ? CrashNews.NONE
        : crashed(start, request, takenMs, brokenMs);
  }

  private EndpointCrash add(EndpointCrash crash, long nowMs) {
    EndpointCrash news = history.add(crash, nowMs, rules::isSuspect);
    // Also where only old ones went.
    summaryIsOld = true;
    if (news != null) {
      suspectsChanged();
      news.under().forEach(one -> turns.over(one, news.atMs()));
      dueMs = Math.min(dueMs, nowMs + CrashRules.SETTLE_MS);
    }
    return news;
  }

  private void suspectsChanged() {
    Set<RequestFingerprint> all = history.requests();
    all.addAll(refused.keySet());
    suspects = all;
    Set<Long> allLengths = new HashSet<>();
    all.forEach(one -> allLengths.add(one.bytes()));
    lengths = allLengths;
    rules.changed();
    summaryIsOld = true;
    refusedNow = refused.values().stream().map(one -> one.record).toList();
  }

  /** Returns the fingerprint of a request that is suspected; only such ones are computed. */
  private Optional<RequestFingerprint> suspected(RequestContent content) {
    if (!lengths.contains(content.bytes())) {
      return Optional.empty();
    }
    return content.fingerprint().filter(suspects::contains);
  }

  /** Takes note that an endpoint gave a whole answer and lived on; returns what is news. */
  public CrashNews served(RequestContent content, long nowMs) {
    return suspected(content)
        .map(request -> clear(new ServedRequest(request, nowMs)))
        .orElse(CrashNews.NONE);
  }

  /** Lets a request go that was turned away, by an operator's order; returns what is news. */
  public CrashNews letGo(RequestFingerprint request, long nowMs) {
    return clear(new ServedRequest(request, nowMs));
  }

  private CrashNews clear(ServedRequest served) {
    Long before = servedMs.get(served.request());
    boolean news = before == null || served.atMs() > before + CrashRules.SETTLE_MS;
    if (!news) {
      return CrashNews.NONE;
    }
    put(servedMs, served);
    turns.over(served.request(), served.atMs());
    spent.forget(served.request(), served.atMs());
    history.absolve(served.request(), served.atMs());
    Refused known = refused.get(served.request());
    if (known != null && known.record.sinceMs() <= served.atMs() + CrashRules.SETTLE_MS) {
      refused.remove(served.request());
      put(pardonedMs, served);
    }
    suspectsChanged();
    return CrashNews.of(served);
  }

  private static void put(Map<RequestFingerprint, Long> map, ServedRequest served) {
    BoundedMaps.putLast(map, served.request(), served.atMs(), MOST_REFUSED);
  }

  /** Returns what may be done with a request that comes or waits. */
  public CrashVerdict verdict(RequestContent content, long nowMs) {
    Optional<RequestFingerprint> suspect = suspected(content);
    if (suspect.isEmpty()) {
      return CrashVerdict.FREE;
    }
    Refused known = refused.get(suspect.get());
    if (known != null && nowMs - known.lastMs <= FORGIVE_MS) {
      known.lastMs = nowMs;
      refused.remove(suspect.get());
      refused.put(suspect.get(), known);
      return CrashVerdict.REFUSED;
    }
    boolean held = rules.isHeld(suspect.get(), nowMs);
    if (held) {
      // Also where nothing was to be decided any more: what is held is held for no longer than
      // this.
      dueMs = Math.min(dueMs, nowMs + CrashRules.SETTLE_MS);
    }
    return held ? CrashVerdict.HELD : CrashVerdict.FREE;
  }

  /**
   * Tells whether a request that is free needs a turn before it is sent: only one copy of it runs
   * at a time over all hosts.
   */
  public boolean needsTurn(RequestContent content) {
    return suspected(content).filter(rules::runsAlone).isPresent();
  }

  /**
   * Asks for a turn, unless somebody has it or the request is quarantined; returns what is news.
   */
  public CrashNews askTurn(RequestContent content, long nowMs) {
    return content
        .fingerprint()
        .filter(request -> quarantinedUntilMs(request) <= nowMs)
        .map(request -> turns.ask(request, nowMs))
        .map(CrashNews::of)
        .orElse(CrashNews.NONE);
  }

  /** Returns until when no copy of a request is sent; a time that has passed for most. */
  public long quarantinedUntilMs(RequestContent content) {
    return suspected(content).filter(rules::runsAlone).map(this::quarantinedUntilMs).orElse(0L);
  }

  private long quarantinedUntilMs(RequestFingerprint request) {
    return spent.quarantinedUntilMs(request, rules.endsInTurns(request));
  }

  /** Takes the turn that this host asked for, once all others have heard of it. */
  public Optional<SuspectTurn> beginTurn(RequestContent content, long nowMs) {
    return content.fingerprint().flatMap(request -> turns.begin(request, nowMs));
  }

  /** Tells whether a turn that was taken lasts. */
  public boolean lasts(SuspectTurn turn, long nowMs) {
    return turns.lasts(turn, nowMs);
  }

  /** Gives back a turn that was taken: the request did not run in it, or was answered. */
  public void endTurn(SuspectTurn turn) {
    turns.end(turn);
  }

  /**
   * Ends a turn in which the request ran without an answer; returns what is news. An end of an
   * endpoint that is known from then on says more.
   */
  public CrashNews spendTurn(SuspectTurn turn) {
    turns.end(turn);
    boolean endIsKnown =
        history.under(turn.request()).stream().anyMatch(crash -> crash.atMs() >= turn.atMs());
    return endIsKnown ? CrashNews.NONE : CrashNews.of(spent.spend(turn));
  }

  /** Tells whether a request runs on other endpoints than other suspected ones. */
  public boolean isIsolated(RequestContent content) {
    return suspected(content).filter(one -> rules.isolated().contains(one)).isPresent()
        && rules.isolated().size() > 1;
  }

  /**
   * Tells whether such a request may be sent to an endpoint without meeting another one there: of
   * two that were always together, only an end without the other tells which it is.
   */
  public boolean mayRunAt(RequestContent content, HostIdentity endpoint) {
    return content.fingerprint().filter(one -> one.equals(rules.ownerOf(endpoint))).isPresent();
  }

  /** Returns when {@link #decide} has something to do next, or {@link Long#MAX_VALUE}. */
  public long dueMs() {
    return dueMs;
  }

  /** Decides on what is old enough to count; returns the requests turned away from now on. */
  public List<RefusedRequest> decide(long nowMs) {
    if (nowMs < dueMs) {
      return List.of();
    }
    if (refused.values().removeIf(one -> nowMs - one.lastMs > FORGIVE_MS)) {
      suspectsChanged();
    }
    List<RefusedRequest> news = new ArrayList<>();
    for (RequestFingerprint suspect : history.requests()) {
      if (history.times(suspect) >= CrashRules.ENOUGH && !refused.containsKey(suspect)) {
        List<EndpointCrash> settled = settled(suspect, nowMs);
        CrashFinding finding = rules.judge(suspect, settled);
        findings.add(finding);
        if (finding.isCause()) {
          news.add(refuse(new RefusedRequest(suspect, nowMs, names(settled)), nowMs));
        }
      }
    }
    dueMs = Long.MAX_VALUE;
    boolean unsettled =
        !history.where(crash -> nowMs - crash.atMs() < CrashRules.SETTLE_MS).isEmpty();
    if (unsettled) {
      dueMs = nowMs + CrashRules.SETTLE_MS / 2;
    }
    return news;
  }

  private List<EndpointCrash> settled(RequestFingerprint suspect, long nowMs) {
    return history.under(suspect).stream()
        .filter(crash -> nowMs - crash.atMs() >= CrashRules.SETTLE_MS)
        .toList();
  }

  /** Returns what was found since this was last asked and turned no request away. */
  public List<CrashFinding> takeFindings() {
    return findings.take();
  }

  private static List<String> names(List<EndpointCrash> crashes) {
    return crashes.stream()
        .map(crash -> crash.endpoint().toString())
        .limit(CrashRules.ENOUGH_AMONG_OTHERS)
        .toList();
  }

  private RefusedRequest refuse(RefusedRequest record, long nowMs) {
    BoundedMaps.putLast(refused, record.request(), new Refused(record, nowMs), MOST_REFUSED);
    suspectsChanged();
    return record;
  }

  /** Takes what another host tells; returns what was news here, to be told on. */
  public CrashNews heard(CrashNews news, long nowMs) {
    List<ServedRequest> served =
        news.served().stream().filter(one -> !clear(one).isEmpty()).toList();
    List<RefusedRequest> refusedNow =
        news.refused().stream().filter(this::isNews).map(one -> refuse(one, nowMs)).toList();
    List<EndpointCrash> crashes = new ArrayList<>();
    for (EndpointCrash crash : news.crashes()) {
      EndpointCrash fresh = history.covers(crash) ? null : add(crash, nowMs);
      if (fresh != null) {
        crashes.add(fresh);
      }
    }
    List<SuspectTurn> turnsNow =
        news.turns().stream().filter(one -> turns.heard(one, nowMs)).toList();
    List<SpentTurn> spentNow = news.spent().stream().filter(this::isSpentNow).toList();
    return new CrashNews(crashes, served, refusedNow, turnsNow, spentNow, news.hops() + 1);
  }

  private boolean isSpentNow(SpentTurn told) {
    turns.over(told.request(), told.atMs() + SuspectTurns.HEARD_MS);
    Long answeredMs = servedMs.get(told.request());
    return (answeredMs == null || told.atMs() > answeredMs) && spent.heard(told);
  }

  private boolean isNews(RefusedRequest told) {
    Long pardon = pardonedMs.get(told.request());
    boolean pardoned = pardon != null && told.sinceMs() <= pardon + CrashRules.SETTLE_MS;
    return !pardoned && !refused.containsKey(told.request());
  }

  /** Returns all that is known and not explained, for a host that may know less. */
  public CrashNews all() {
    List<ServedRequest> pardons = new ArrayList<>();
    pardonedMs.forEach((request, atMs) -> pardons.add(new ServedRequest(request, atMs)));
    return new CrashNews(
        history.where(crash -> !rules.isExplained(crash)),
        pardons,
        refused(),
        List.of(),
        spent.all(),
        0);
  }

  /** Returns the requests that are turned away now. */
  public List<RefusedRequest> refused() {
    return refusedNow;
  }

  /**
   * Returns a number that two hosts which know the same have in common; 0 when nothing is known.
   */
  public long summary() {
    if (summaryIsOld) {
      summary = sumOfAll();
      summaryIsOld = false;
    }
    return summary;
  }

  private long sumOfAll() {
    long sum = sumOf(refused.keySet());
    for (EndpointCrash crash : history.where(one -> !rules.isExplained(one))) {
      long start = crash.endpoint().host().hashCode() + crash.endpoint().incarnation();
      sum += (1 + start) * (1 + sumOf(crash.under()));
    }
    return sum;
  }

  private static long sumOf(Set<RequestFingerprint> requests) {
    return requests.stream().mapToLong(one -> one.high() ^ one.low()).sum();
  }
}
