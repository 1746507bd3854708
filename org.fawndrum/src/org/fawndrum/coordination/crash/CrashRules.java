// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fawndrum.coordination.crash.CrashFinding.Discount;
import org.fawndrum.coordination.crash.CrashFinding.Discounted;
import org.fawndrum.coordination.crash.CrashFinding.Standing;
import org.fawndrum.state.HostIdentity;

/**
 * What the endpoints that ended say of the requests that they had. Reads what the ledger keeps and
 * changes nothing. Confined to the ledger's thread; times are those of the host's clock, in
 * milliseconds.
 */
final class CrashRules {
  /** After how many crashes a request is turned away; operators allow three more over all hosts. */
  static final int ENOUGH = 3;

  /**
   * From so many crashes on, a request waits after each until it has settled, while copies of it
   * that are on other endpoints show what they do there, and runs on other endpoints than other
   * such requests do. An innocent that was on two endpoints that ended comes 0.2 s later.
   */
  static final int DOUBTFUL = 2;

  /**
   * After how many where some endpoint ended without the request lately, or while this host does
   * not hear all others and so not what was on the endpoints, or where a request that is turned
   * away was on some of them too. An innocent that is read for seconds may then have lost three by
   * chance. It is the most that operators allow for, if it comes one by one.
   */
  static final int ENOUGH_AMONG_OTHERS = 6;

  /** How long ago these are at most: longer than a request and its repeats last. */
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

  private final CrashHistory history;
  private final Map<RequestFingerprint, ?> refused;
  private final Map<RequestFingerprint, Long> servedMs;
  private Set<RequestFingerprint> isolated = Set.of();
  private boolean isolatedIsOld;

  /**
   * Makes rules over what a ledger keeps.
   *
   * @param refused the requests that are turned away
   * @param servedMs when requests were last answered
   */
  CrashRules(
      CrashHistory history,
      Map<RequestFingerprint, ?> refused,
      Map<RequestFingerprint, Long> servedMs) {
    this.history = history;
    this.refused = refused;
    this.servedMs = servedMs;
  }

  /** Returns the crashes under a request that no whole answer speaks against. */
  private List<EndpointCrash> untrusted(RequestFingerprint request, List<EndpointCrash> crashes) {
    return crashes.stream().filter(crash -> isUntrusted(request, crash)).toList();
  }

  private boolean isUntrusted(RequestFingerprint request, EndpointCrash crash) {
    Long answeredMs = servedMs.get(request);
    return answeredMs == null || crash.atMs() > answeredMs + TRUSTED_MS;
  }

  private List<EndpointCrash> unexplained(List<EndpointCrash> crashes) {
    return crashes.stream().filter(crash -> !isExplained(crash)).toList();
  }

  /** Tells whether a request waits until its last crash has settled. */
  boolean isHeld(RequestFingerprint request, long nowMs) {
    List<EndpointCrash> crashes = history.under(request);
    return isCause(request, crashes) || waits(request, crashes, nowMs);
  }

  private boolean waits(RequestFingerprint request, List<EndpointCrash> crashes, long nowMs) {
    List<EndpointCrash> unexplained = unexplained(untrusted(request, crashes));
    return unexplained.size() >= DOUBTFUL
        && unexplained.stream().anyMatch(crash -> nowMs - crash.atMs() < SETTLE_MS);
  }

  /**
   * Tells whether a request runs only once at a time, over all hosts: enough endpoints ended under
   * it, whatever else may explain that. One at a time, it ends three more before six are known.
   */
  boolean runsAlone(RequestFingerprint request) {
    if (history.times(request) < ENOUGH) {
      return false;
    }
    List<EndpointCrash> crashes = untrusted(request, history.under(request));
    return crashes.size() >= ENOUGH && moments(crashes) >= MOMENTS;
  }

  /** Returns the ends under a request since it runs alone, whatever else may explain them. */
  List<EndpointCrash> endsInTurns(RequestFingerprint request) {
    if (history.times(request) <= ENOUGH) {
      return List.of();
    }
    List<EndpointCrash> crashes = untrusted(request, history.under(request));
    long aloneMs = runsAloneSinceMs(request, crashes);
    return crashes.stream().filter(crash -> crash.atMs() >= aloneMs).toList();
  }

  /** Returns when the first copy of a request that runs alone can have run at the earliest. */
  private long runsAloneSinceMs(RequestFingerprint request, List<EndpointCrash> crashes) {
    List<EndpointCrash> sorted =
        untrusted(request, crashes).stream()
            .sorted(Comparator.comparingLong(EndpointCrash::atMs))
            .toList();
    for (int first = ENOUGH; first <= sorted.size(); first++) {
      if (moments(sorted.subList(0, first)) >= MOMENTS) {
        return sorted.get(first - 1).atMs() + SETTLE_MS + SuspectTurns.HEARD_MS;
      }
    }
    return Long.MAX_VALUE;
  }

  /** Takes note that something has changed of what the rules read. */
  void changed() {
    isolatedIsOld = true;
  }

  /**
   * Returns the requests that run on other endpoints than each other, so that the next end tells
   * which of those that were always together it is.
   */
  Set<RequestFingerprint> isolated() {
    if (isolatedIsOld) {
      isolated = history.requests().stream().filter(this::isDoubtful).collect(Collectors.toSet());
      isolatedIsOld = false;
    }
    return isolated;
  }

  /** Tells whether several endpoints ended under a request that is not turned away. */
  boolean isSuspect(RequestFingerprint request) {
    return history.times(request) >= DOUBTFUL && !refused.containsKey(request);
  }

  private boolean isDoubtful(RequestFingerprint request) {
    return isSuspect(request) && untrusted(request, history.under(request)).size() >= DOUBTFUL;
  }

  /** Tells whether crashes under a request say that it causes them. */
  private boolean isCause(RequestFingerprint request, List<EndpointCrash> crashes) {
    return crashes.size() >= ENOUGH && standing(request, weigh(request, crashes)) == Standing.CAUSE;
  }

  /** Crashes under a request that count, and those that do not. */
  private record Weighed(List<EndpointCrash> counted, List<Discounted> discounted) {}

  private Weighed weigh(RequestFingerprint request, List<EndpointCrash> crashes) {
    List<EndpointCrash> counted = new ArrayList<>();
    List<Discounted> discounted = new ArrayList<>();
    for (EndpointCrash crash : crashes) {
      discount(request, crash)
          .ifPresentOrElse(
              why -> discounted.add(new Discounted(crash.endpoint(), why)),
              () -> counted.add(crash));
    }
    return new Weighed(counted, discounted);
  }

  /** Says whether crashes under a request say that it causes them, and why not. */
  CrashFinding judge(RequestFingerprint request, List<EndpointCrash> crashes) {
    Weighed weighed = weigh(request, crashes);
    Standing standing = standing(request, weighed);
    return new CrashFinding(
        request,
        standing,
        against(standing, request, weighed.counted()),
        weighed.counted().stream().map(EndpointCrash::endpoint).toList(),
        weighed.discounted());
  }

  /** Returns why a crash does not count; empty when it does. */
  private Optional<Discount> discount(RequestFingerprint request, EndpointCrash crash) {
    if (!isUntrusted(request, crash)) {
      return Optional.of(Discount.ANSWERED);
    }
    if (isExplained(crash)) {
      return Optional.of(Discount.EXPLAINED);
    }
    if (hasLikelierCause(crash, request)) {
      return Optional.of(Discount.LIKELIER_CAUSE);
    }
    return history.isOneOfSeveral(crash, request, this::mayHaveCause)
        ? Optional.of(Discount.ONE_OF_SEVERAL)
        : Optional.empty();
  }

  /**
   * Returns the rule that decides. A crash that a request which is turned away explains does not
   * count by itself; but where a request goes on to end as many endpoints without that one, it had
   * its part in the earlier ones.
   */
  private Standing standing(RequestFingerprint request, Weighed weighed) {
    List<EndpointCrash> counted = weighed.counted();
    if (counted.size() < ENOUGH) {
      return Standing.TOO_FEW;
    }
    long explained =
        weighed.discounted().stream().filter(one -> one.why() == Discount.EXPLAINED).count();
    boolean many = counted.size() + explained >= ENOUGH_AMONG_OTHERS;
    if (!many && !history.hearsAll()) {
      return Standing.NOT_ALL_HEARD;
    }
    if (!many && !othersWithout(request, counted).isEmpty()) {
      return Standing.OTHERS_ENDED;
    }
    if (moments(counted) < MOMENTS) {
      return Standing.ONE_MOMENT;
    }
    return alsoOnAll(request, counted).isEmpty() ? Standing.CAUSE : Standing.ANOTHER_ON_ALL;
  }

  private List<String> against(
      Standing standing, RequestFingerprint request, List<EndpointCrash> counted) {
    return switch (standing) {
      case OTHERS_ENDED ->
          othersWithout(request, counted).stream()
              .map(crash -> crash.endpoint().toString())
              .limit(ENOUGH_AMONG_OTHERS)
              .toList();
      case ANOTHER_ON_ALL ->
          alsoOnAll(request, counted).stream()
              .map(RequestFingerprint::toString)
              .limit(ENOUGH_AMONG_OTHERS)
              .toList();
      default -> List.of();
    };
  }

  /** Returns the crashes without a request, near those under it, that nothing explains. */
  private List<EndpointCrash> othersWithout(
      RequestFingerprint request, List<EndpointCrash> counted) {
    long sinceMs = counted.stream().mapToLong(EndpointCrash::atMs).max().orElse(0) - OTHERS_MS;
    return history.where(
        crash -> crash.atMs() > sinceMs && !crash.under().contains(request) && !hasCause(crash));
  }

  /** Tells whether a request that is turned away was on the endpoint. */
  boolean isExplained(EndpointCrash crash) {
    return crash.under().stream().anyMatch(refused::containsKey);
  }

  /**
   * Tells whether some request on the endpoint is most likely what ended it: it is turned away, or
   * was on more others that ended than chance explains.
   */
  private boolean hasCause(EndpointCrash crash) {
    return isExplained(crash)
        || crash.under().stream().anyMatch(one -> history.times(one) >= ENOUGH_AMONG_OTHERS);
  }

  /** Tells whether some request on the endpoint may be what ended it, and no rack or zone did. */
  private boolean mayHaveCause(EndpointCrash crash) {
    return hasCause(crash) || crash.under().stream().anyMatch(this::runsAlone);
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

  /** Returns the other requests that were on all these endpoints too: either may be it. */
  private static Set<RequestFingerprint> alsoOnAll(
      RequestFingerprint request, List<EndpointCrash> crashes) {
    Set<RequestFingerprint> all = new HashSet<>(crashes.get(0).under());
    crashes.forEach(crash -> all.retainAll(crash.under()));
    all.remove(request);
    return all;
  }

  /**
   * Returns which of the isolated requests an endpoint is for, so that no two of them run there.
   * All hosts that know the same come to the same answer, each endpoint by itself.
   */
  RequestFingerprint ownerOf(HostIdentity endpoint) {
    RequestFingerprint owner = null;
    long highest = Long.MIN_VALUE;
    for (RequestFingerprint one : isolated()) {
      long weight = weight(endpoint.host(), one);
      if (owner == null || weight > highest) {
        owner = one;
        highest = weight;
      }
    }
    return owner;
  }

  /** Mixes the bits of a name and a hash (the finalizer of SplitMix64). */
  private static long weight(String endpoint, RequestFingerprint request) {
    long bits = request.high() ^ request.low() + endpoint.hashCode() * 0x9E3779B97F4A7C15L;
    bits = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
    bits = (bits ^ (bits >>> 27)) * 0x94D049BB133111EBL;
    return bits ^ (bits >>> 31);
  }
}
