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
 * explains it: no endpoint without it ended at the same moment, no request that is turned away was
 * on the same endpoints, none was on more of them, and it was not answered by an endpoint that
 * lived on. The evidence is kept for as long as news need before it counts.
 *
 * <p>Hosts tell each other their evidence; {@link #heard} takes it in any order and repetition.
 * Confined to one thread; times are those of the host's clock, in milliseconds.
 */
public final class CrashLedger {
  /** After how many crashes a request is turned away; operators allow three more over all hosts. */
  static final int ENOUGH = 3;

  /**
   * From so many crashes on, a request waits after each until it has settled, while copies of it
   * that are on other endpoints show what they do there. With a request that ends engines and comes
   * eight times a second to eight hosts before 18 engines, 5.1 engines ended in the mean of 60
   * seeds of a simulation in place of 7.8, and with sixteen a second 7.1 in place of 12.2. An
   * innocent that was on two of them comes 0.2 s later.
   */
  static final int DOUBTFUL = 2;

  /**
   * After how many where some endpoint ended without the request lately, or while this host does
   * not hear all others and so not what was on the endpoints. An innocent that is read for seconds
   * may then have lost three by chance. It is the most that operators allow for, if it comes one by
   * one.
   */
  static final int ENOUGH_AMONG_OTHERS = 6;

  /**
   * How long ago these are at most, in milliseconds: longer than a request and its repeats last.
   */
  private static final long OTHERS_MS = 60_000;

  /**
   * At how many moments they are: a rack that ends takes several endpoints of a request at once.
   */
  static final int MOMENTS = 2;

  /**
   * How old a crash is before it counts: what other hosts saw of that moment has come by then. News
   * take 10 to 50 ms over speakers, and a look at the port of the endpoint a few.
   */
  static final long SETTLE_MS = 200;

  /** For how long after a whole answer no crash counts against the request. */
  static final long TRUSTED_MS = 10_000;

  /** How long a request is turned away after it came last. */
  static final long FORGIVE_MS = 3_600_000;

  /** The requests that are turned away at most; beyond, the one that came last longest ago goes. */
  static final int MOST_REFUSED = 256;

  private final CrashHistory history = new CrashHistory();
  private final Map<RequestFingerprint, Refused> refused = new LinkedHashMap<>();
  private final Map<RequestFingerprint, Long> servedMs = new LinkedHashMap<>();
  private final Map<RequestFingerprint, Long> pardonedMs = new LinkedHashMap<>();
  private Set<RequestFingerprint> suspects = Set.of();
  private Set<Long> lengths = Set.of();
  private long dueMs = Long.MAX_VALUE;
  private boolean hearsAll = true;

  /** A request that is turned away, and when it came last. */
  private static final class Refused {
    final RefusedRequest record;
    long lastMs;

    Refused(RefusedRequest record, long lastMs) {
      this.record = record;
      this.lastMs = lastMs;
    }
  }

  /** Takes note whether this host hears all others that it knows, and so what they saw. */
  public void hearsAll(boolean all) {
    hearsAll = all;
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

  private EndpointCrash add(EndpointCrash crash, long nowMs) {
    EndpointCrash news = history.add(crash, nowMs);
    if (news != null) {
      suspectsChanged();
      dueMs = Math.min(dueMs, nowMs + SETTLE_MS);
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

  /** Lets a request go that was turned away, by an operator's word; returns what is news. */
  public CrashNews letGo(RequestFingerprint request, long nowMs) {
    return clear(new ServedRequest(request, nowMs));
  }

  private CrashNews clear(ServedRequest served) {
    Long before = servedMs.get(served.request());
    boolean news = before == null || served.atMs() > before + SETTLE_MS;
    if (!news) {
      return CrashNews.NONE;
    }
    put(servedMs, served);
    history.absolve(served.request(), served.atMs());
    Refused known = refused.get(served.request());
    if (known != null && known.record.sinceMs() <= served.atMs() + SETTLE_MS) {
      refused.remove(served.request());
      put(pardonedMs, served);
    }
    suspectsChanged();
    return CrashNews.of(served);
  }

  private static void put(Map<RequestFingerprint, Long> map, ServedRequest served) {
    map.remove(served.request());
    map.put(served.request(), served.atMs());
    bound(map);
  }

  private static <T> void bound(Map<RequestFingerprint, T> map) {
    if (map.size() > MOST_REFUSED) {
      map.remove(map.keySet().iterator().next());
    }
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
    List<EndpointCrash> crashes = unexplained(suspect.get(), history.under(suspect.get()));
    boolean held = isCause(suspect.get(), crashes) || isDoubtful(crashes, nowMs);
    if (held) {
      // Also where nothing was to be decided any more: what is held is held for no longer than
      // this.
      dueMs = Math.min(dueMs, nowMs + SETTLE_MS);
    }
    return held ? CrashVerdict.HELD : CrashVerdict.FREE;
  }

  private static boolean isDoubtful(List<EndpointCrash> crashes, long nowMs) {
    return crashes.size() >= DOUBTFUL
        && crashes.stream().anyMatch(crash -> nowMs - crash.atMs() < SETTLE_MS);
  }

  /** Returns the crashes that neither another request nor a whole answer speaks against. */
  private List<EndpointCrash> unexplained(RequestFingerprint request, List<EndpointCrash> crashes) {
    long trustedMs = servedMs.containsKey(request) ? servedMs.get(request) + TRUSTED_MS : 0;
    return crashes.stream()
        .filter(crash -> crash.atMs() > trustedMs && !isExplained(crash))
        .toList();
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
    refused.values().removeIf(one -> nowMs - one.lastMs > FORGIVE_MS);
    List<RefusedRequest> news = new ArrayList<>();
    for (RequestFingerprint suspect : history.requests()) {
      if (history.times(suspect) < ENOUGH) {
        continue;
      }
      List<EndpointCrash> settled =
          history.under(suspect).stream()
              .filter(crash -> nowMs - crash.atMs() >= SETTLE_MS)
              .toList();
      if (!refused.containsKey(suspect) && isCause(suspect, unexplained(suspect, settled))) {
        news.add(refuse(new RefusedRequest(suspect, nowMs, names(settled)), nowMs));
      }
    }
    dueMs = Long.MAX_VALUE;
    boolean unsettled = !history.where(crash -> nowMs - crash.atMs() < SETTLE_MS).isEmpty();
    if (unsettled) {
      dueMs = nowMs + SETTLE_MS / 2;
    }
    return news;
  }

  private static List<String> names(List<EndpointCrash> crashes) {
    return crashes.stream().map(crash -> crash.endpoint().toString()).limit(2L * ENOUGH).toList();
  }

  private RefusedRequest refuse(RefusedRequest record, long nowMs) {
    refused.put(record.request(), new Refused(record, nowMs));
    bound(refused);
    suspectsChanged();
    return record;
  }

  /** Tells whether unexplained crashes under a request say that it causes them. */
  private boolean isCause(RequestFingerprint request, List<EndpointCrash> crashes) {
    if (crashes.size() < ENOUGH) {
      return false;
    }
    List<EndpointCrash> counted =
        crashes.stream()
            .filter(crash -> !hasLikelierCause(crash, request))
            .filter(crash -> !history.isOneOfSeveral(crash, request, this::hasCause))
            .toList();
    return counted.size() >= enough(request, counted)
        && moments(counted) >= MOMENTS
        && !anotherIsOnAll(request, counted);
  }

  /** Returns how many crashes are enough: more while endpoints end without the request as well. */
  private int enough(RequestFingerprint request, List<EndpointCrash> counted) {
    long sinceMs = counted.stream().mapToLong(EndpointCrash::atMs).max().orElse(0) - OTHERS_MS;
    List<EndpointCrash> others =
        history.where(
            crash ->
                crash.atMs() > sinceMs && !crash.under().contains(request) && !hasCause(crash));
    return !hearsAll || !others.isEmpty() ? ENOUGH_AMONG_OTHERS : ENOUGH;
  }

  /** Tells whether a request that is turned away was on the endpoint. */
  private boolean isExplained(EndpointCrash crash) {
    return crash.under().stream().anyMatch(refused::containsKey);
  }

  /**
   * Tells whether some request on the endpoint may well be what ended it: it is turned away, or was
   * on more others that ended than chance explains.
   */
  private boolean hasCause(EndpointCrash crash) {
    return isExplained(crash)
        || crash.under().stream().anyMatch(one -> history.times(one) >= ENOUGH_AMONG_OTHERS);
  }

  /** Tells whether a request on the endpoint was on more others that ended than this one. */
  private boolean hasLikelierCause(EndpointCrash crash, RequestFingerprint request) {
    int times = history.times(request);
    return crash.under().stream().anyMatch(one -> history.times(one) > times);
  }

  private static int moments(List<EndpointCrash> crashes) {
    int moments = 0;
    long lastMs = Long.MIN_VALUE / 2;
    for (long atMs : crashes.stream().mapToLong(EndpointCrash::atMs).sorted().toArray()) {
      if (atMs - lastMs > CrashHistory.TOGETHER_MS) {
        moments++;
        lastMs = atMs;
      }
    }
    return moments;
  }

  /** Tells whether another request was on all these endpoints too, so that either may be it. */
  private boolean anotherIsOnAll(RequestFingerprint request, List<EndpointCrash> crashes) {
    Set<RequestFingerprint> all = new HashSet<>(crashes.get(0).under());
    crashes.forEach(crash -> all.retainAll(crash.under()));
    all.remove(request);
    return !all.isEmpty();
  }

  /** Takes what another host tells; returns what was news here, to be told on. */
  public CrashNews heard(CrashNews news, long nowMs) {
    List<ServedRequest> served =
        news.served().stream().filter(one -> !clear(one).isEmpty()).toList();
    List<RefusedRequest> refusedNow =
        news.refused().stream().filter(this::isNews).map(one -> refuse(one, nowMs)).toList();
    List<EndpointCrash> crashes = new ArrayList<>();
    for (EndpointCrash crash : news.crashes()) {
      EndpointCrash fresh = add(crash, nowMs);
      if (fresh != null) {
        crashes.add(fresh);
      }
    }
    return new CrashNews(crashes, served, refusedNow);
  }

  private boolean isNews(RefusedRequest told) {
    Long pardon = pardonedMs.get(told.request());
    boolean pardoned = pardon != null && told.sinceMs() <= pardon + SETTLE_MS;
    return !pardoned && !refused.containsKey(told.request());
  }

  /** Returns all that is known and not explained, for a host that may know less. */
  public CrashNews all() {
    List<ServedRequest> pardons = new ArrayList<>();
    pardonedMs.forEach((request, atMs) -> pardons.add(new ServedRequest(request, atMs)));
    return new CrashNews(history.where(crash -> !isExplained(crash)), pardons, refused());
  }

  /** Returns the requests that are turned away now, the one that came last longest ago first. */
  public List<RefusedRequest> refused() {
    return refused.values().stream().map(one -> one.record).toList();
  }

  /**
   * Returns a number that two hosts which know the same have in common; 0 when nothing is known.
   */
  public long summary() {
    long sum = sumOf(refused.keySet());
    for (EndpointCrash crash : history.where(one -> !isExplained(one))) {
      long start = crash.endpoint().host().hashCode() + crash.endpoint().incarnation();
      sum += (1 + start) * (1 + sumOf(crash.under()));
    }
    return sum;
  }

  private static long sumOf(Set<RequestFingerprint> requests) {
    return requests.stream().mapToLong(one -> one.high() ^ one.low()).sum();
  }
}
