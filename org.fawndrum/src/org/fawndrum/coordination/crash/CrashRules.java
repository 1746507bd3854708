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
import org.fawndrum.coordination.crash.CrashFinding.Conclusion;
import org.fawndrum.coordination.crash.CrashFinding.Discount;
import org.fawndrum.coordination.crash.CrashFinding.DiscountedCrash;
import org.fawndrum.state.HostIdentity;

/**
 * Decides from the crashes which requests cause them. Reads the state of the crash registry and
 * changes nothing. Confined to the registry's thread; times are those of the host's clock, in
 * milliseconds.
 */
final class CrashRules {
  /**
   * Minimum number of crashes before a request is rejected. Operators allow three more over all
   * hosts.
   */
  static final int MIN_CRASHES = 3;

  /**
   * Number of crashes from which a request is a suspect. After each crash it is delayed until the
   * crash has settled, while copies of it on other endpoints show what they do there, and it does
   * not share endpoints with other suspects. An innocent request that was on two crashed endpoints
   * is delayed by 0.2 s.
   */
  static final int SUSPECT_CRASHES = 2;

  /**
   * Minimum number of crashes if the evidence is ambiguous: an endpoint crashed without the request
   * in the last minute; or this host does not receive messages from all known hosts, and so does
   * not know of all requests on the crashed endpoints; or a rejected request was on some of these
   * endpoints, too. An innocent request with a prefill of several seconds may have been on three
   * crashed endpoints by chance. Six is the maximum that operators allow for a request that arrives
   * one copy at a time.
   */
  static final int MIN_CRASHES_WHEN_AMBIGUOUS = 6;

  /**
   * Maximum age of the crashes without the request that make the evidence ambiguous; longer than a
   * request and its repetitions last.
   */
  private static final long UNRELATED_WINDOW_MS = 60_000;

  /**
   * Minimum number of bursts among the crashes. The failure of one rack ends several endpoints of a
   * request in a single burst.
   */
  static final int MIN_BURSTS = 2;

  /**
   * Minimum age of a crash before it counts. By then the reports of other hosts about that instant
   * have arrived: updates take 10 to 50 ms through the zone leaders, and probing the endpoint's
   * port takes a few milliseconds.
   */
  static final long SETTLE_MS = 200;

  /** How long after a completed answer no crash counts against the request. */
  static final long ANSWER_TRUST_MS = 10_000;

  private final CrashHistory history;
  private final Rejections rejections;
  private final Map<RequestFingerprint, Long> lastAnsweredMs;
  private Set<RequestFingerprint> isolated = Set.of();
  private boolean isolatedStale;

  /**
   * Creates the rules over the state of a registry.
   *
   * @param rejections the rejected requests and parts
   * @param lastAnsweredMs when requests were last answered
   */
  CrashRules(
      CrashHistory history, Rejections rejections, Map<RequestFingerprint, Long> lastAnsweredMs) {
    this.history = history;
    this.rejections = rejections;
    this.lastAnsweredMs = lastAnsweredMs;
  }

  /** Returns the crashes that are not discounted because of a completed answer to the request. */
  private List<EndpointCrash> outsideAnswerTrust(
      RequestFingerprint request, List<EndpointCrash> crashes) {
    return crashes.stream().filter(crash -> isOutsideAnswerTrust(request, crash)).toList();
  }

  private boolean isOutsideAnswerTrust(RequestFingerprint request, EndpointCrash crash) {
    Long answeredMs = lastAnsweredMs.get(request);
    return answeredMs == null || crash.atMs() > answeredMs + ANSWER_TRUST_MS;
  }

  private List<EndpointCrash> unexplained(List<EndpointCrash> crashes) {
    return crashes.stream().filter(crash -> !isExplained(crash)).toList();
  }

  /** Returns whether a request must wait until its last crash has settled. */
  boolean isDelayed(RequestFingerprint request, long nowMs) {
    List<EndpointCrash> crashes = history.crashesWith(request);
    return isCause(request, crashes) || isSettling(request, crashes, nowMs);
  }

  private boolean isSettling(RequestFingerprint request, List<EndpointCrash> crashes, long nowMs) {
    List<EndpointCrash> unexplained = unexplained(outsideAnswerTrust(request, crashes));
    return unexplained.size() >= SUSPECT_CRASHES
        && unexplained.stream().anyMatch(crash -> nowMs - crash.atMs() < SETTLE_MS);
  }

  /**
   * Returns whether only one copy of a request may run at a time over all hosts: enough endpoints
   * crashed under it, even if something else may explain the crashes. Running one copy at a time,
   * it causes three more crashes before six are known.
   */
  boolean requiresLease(RequestFingerprint request) {
    if (history.crashCount(request) < MIN_CRASHES) {
      return false;
    }
    List<EndpointCrash> crashes = outsideAnswerTrust(request, history.crashesWith(request));
    return crashes.size() >= MIN_CRASHES && countBursts(crashes) >= MIN_BURSTS;
  }

  /**
   * Returns the crashes under a request since it requires a lease, even if something else may
   * explain them.
   */
  List<EndpointCrash> crashesDuringLeases(RequestFingerprint request) {
    if (history.crashCount(request) <= MIN_CRASHES) {
      return List.of();
    }
    List<EndpointCrash> crashes = outsideAnswerTrust(request, history.crashesWith(request));
    long leasedSinceMs = leasesSinceMs(request, crashes);
    return crashes.stream().filter(crash -> crash.atMs() >= leasedSinceMs).toList();
  }

  /** Returns the earliest time at which a copy of a request may have run under a lease. */
  private long leasesSinceMs(RequestFingerprint request, List<EndpointCrash> crashes) {
    List<EndpointCrash> sorted =
        outsideAnswerTrust(request, crashes).stream()
            .sorted(Comparator.comparingLong(EndpointCrash::atMs))
            .toList();
    for (int first = MIN_CRASHES; first <= sorted.size(); first++) {
      if (countBursts(sorted.subList(0, first)) >= MIN_BURSTS) {
        return sorted.get(first - 1).atMs() + SETTLE_MS + ExecutionLeases.PROPAGATION_MS;
      }
    }
    return Long.MAX_VALUE;
  }

  /** Called when the state that the rules read has changed. */
  void invalidate() {
    isolatedStale = true;
  }

  /**
   * Returns the requests that must not share endpoints with each other, so that the next crash
   * tells apart those that were always on the same endpoints.
   */
  Set<RequestFingerprint> isolated() {
    if (isolatedStale) {
      isolated =
          history.requests().stream().filter(this::needsIsolation).collect(Collectors.toSet());
      isolatedStale = false;
    }
    return isolated;
  }

  /** Returns whether a request has several crashes and is not rejected. */
  boolean isSuspect(RequestFingerprint request) {
    return history.crashCount(request) >= SUSPECT_CRASHES && !rejections.contains(request);
  }

  private boolean needsIsolation(RequestFingerprint request) {
    return isSuspect(request)
        && outsideAnswerTrust(request, history.crashesWith(request)).size() >= SUSPECT_CRASHES;
  }

  /** Returns whether the given crashes suffice to reject a request. */
  private boolean isCause(RequestFingerprint request, List<EndpointCrash> crashes) {
    return crashes.size() >= MIN_CRASHES
        && conclude(request, classify(request, crashes)) == Conclusion.CAUSE;
  }

  /** The crashes under a request, divided into those that count and those that do not. */
  private record Classified(List<EndpointCrash> counted, List<DiscountedCrash> discounted) {}

  private Classified classify(RequestFingerprint request, List<EndpointCrash> crashes) {
    List<EndpointCrash> counted = new ArrayList<>();
    List<DiscountedCrash> discounted = new ArrayList<>();
    for (EndpointCrash crash : crashes) {
      discountReason(request, crash)
          .ifPresentOrElse(
              reason -> discounted.add(new DiscountedCrash(crash.endpoint(), reason)),
              () -> counted.add(crash));
    }
    return new Classified(counted, discounted);
  }

  /**
   * Evaluates whether the given crashes suffice to reject a request, and returns the reason if they
   * do not.
   */
  CrashFinding evaluate(RequestFingerprint request, List<EndpointCrash> crashes) {
    Classified classified = classify(request, crashes);
    Conclusion conclusion = conclude(request, classified);
    return new CrashFinding(
        request,
        conclusion,
        counterEvidence(conclusion, request, classified.counted()),
        classified.counted().stream().map(EndpointCrash::endpoint).toList(),
        classified.discounted());
  }

  /** Returns why a crash does not count; empty if it counts. */
  private Optional<Discount> discountReason(RequestFingerprint request, EndpointCrash crash) {
    if (!isOutsideAnswerTrust(request, crash)) {
      return Optional.of(Discount.ANSWERED_SINCE);
    }
    if (isExplained(crash)) {
      return Optional.of(Discount.EXPLAINED_BY_REJECTED);
    }
    if (hasMoreLikelyCause(crash, request)) {
      return Optional.of(Discount.MORE_LIKELY_CAUSE);
    }
    return history.isPartOfBurst(crash, request, this::hasPossibleCause)
        ? Optional.of(Discount.PART_OF_BURST)
        : Optional.empty();
  }

  /**
   * Returns the rule that decides. A crash that a rejected request explains does not count by
   * itself. But if a request goes on to have {@link #MIN_CRASHES} crashes without the rejected one,
   * the shared crashes count towards the higher limit, because it had a part in them.
   */
  private Conclusion conclude(RequestFingerprint request, Classified classified) {
    List<EndpointCrash> counted = classified.counted();
    if (counted.size() < MIN_CRASHES) {
      return Conclusion.TOO_FEW_CRASHES;
    }
    long explained =
        classified.discounted().stream()
            .filter(crash -> crash.reason() == Discount.EXPLAINED_BY_REJECTED)
            .count();
    boolean meetsHigherLimit = counted.size() + explained >= MIN_CRASHES_WHEN_AMBIGUOUS;
    if (!meetsHigherLimit && !history.allHostsReporting()) {
      return Conclusion.HOSTS_NOT_REPORTING;
    }
    if (!meetsHigherLimit && !unrelatedCrashes(request, counted).isEmpty()) {
      return Conclusion.UNRELATED_CRASHES;
    }
    if (countBursts(counted) < MIN_BURSTS) {
      return Conclusion.SINGLE_BURST;
    }
    return otherRequestsOnAll(request, counted).isEmpty()
        ? Conclusion.CAUSE
        : Conclusion.OTHER_REQUEST_ON_ALL;
  }

  private List<String> counterEvidence(
      Conclusion conclusion, RequestFingerprint request, List<EndpointCrash> counted) {
    return switch (conclusion) {
      case UNRELATED_CRASHES ->
          unrelatedCrashes(request, counted).stream()
              .map(crash -> crash.endpoint().toString())
              .limit(MIN_CRASHES_WHEN_AMBIGUOUS)
              .toList();
      case OTHER_REQUEST_ON_ALL ->
          otherRequestsOnAll(request, counted).stream()
              .map(RequestFingerprint::toString)
              .limit(MIN_CRASHES_WHEN_AMBIGUOUS)
              .toList();
      default -> List.of();
    };
  }

  /**
   * Returns the unexplained crashes without a request, in the minute before its last crash and
   * later.
   */
  private List<EndpointCrash> unrelatedCrashes(
      RequestFingerprint request, List<EndpointCrash> counted) {
    long sinceMs =
        counted.stream().mapToLong(EndpointCrash::atMs).max().orElse(0) - UNRELATED_WINDOW_MS;
    return history.matching(
        crash ->
            crash.atMs() > sinceMs
                && !crash.requests().contains(request)
                && !hasLikelyCause(crash));
  }

  /** Returns whether a rejected request, or one with a rejected part, was on the endpoint. */
  boolean isExplained(EndpointCrash crash) {
    return crash.requests().stream().anyMatch(rejections::contains)
        || crash.parts().stream().anyMatch(rejections::contains);
  }

  /**
   * Returns whether one request on the endpoint is the likely cause of its crash: it is rejected,
   * or has more crashes than chance explains.
   */
  private boolean hasLikelyCause(EndpointCrash crash) {
    return isExplained(crash)
        || crash.requests().stream()
            .anyMatch(request -> history.crashCount(request) >= MIN_CRASHES_WHEN_AMBIGUOUS);
  }

  /**
   * Returns whether one request on the endpoint, rather than a rack or zone failure, may be the
   * cause of its crash.
   */
  private boolean hasPossibleCause(EndpointCrash crash) {
    return hasLikelyCause(crash) || crash.requests().stream().anyMatch(this::requiresLease);
  }

  /** Returns whether another request on the endpoint has more crashes than this one. */
  private boolean hasMoreLikelyCause(EndpointCrash crash, RequestFingerprint request) {
    int crashes = history.crashCount(request);
    return crash.requests().stream().anyMatch(other -> history.crashCount(other) > crashes);
  }

  /** Returns in how many bursts the crashes happened. */
  static int countBursts(List<EndpointCrash> crashes) {
    int bursts = 0;
    long burstStartMs = Long.MIN_VALUE / 2;
    for (long atMs : crashes.stream().mapToLong(EndpointCrash::atMs).sorted().toArray()) {
      if (atMs - burstStartMs > CrashHistory.BURST_MS) {
        bursts++;
        burstStartMs = atMs;
      }
    }
    return bursts;
  }

  /**
   * Returns the other requests that were on all of these endpoints: each of them may be the cause
   * as well.
   */
  private static Set<RequestFingerprint> otherRequestsOnAll(
      RequestFingerprint request, List<EndpointCrash> crashes) {
    Set<RequestFingerprint> onAll = new HashSet<>(crashes.get(0).requests());
    crashes.forEach(crash -> onAll.retainAll(crash.requests()));
    onAll.remove(request);
    return onAll;
  }

  /**
   * Returns the isolated request that may run on an endpoint, so that no two of them share one. The
   * choice is made for each endpoint separately by rendezvous hashing, and all hosts with the same
   * evidence make the same choice.
   */
  RequestFingerprint ownerOf(HostIdentity endpoint) {
    RequestFingerprint owner = null;
    long highest = Long.MIN_VALUE;
    for (RequestFingerprint request : isolated()) {
      long weight = weight(endpoint.host(), request);
      if (owner == null || weight > highest) {
        owner = request;
        highest = weight;
      }
    }
    return owner;
  }

  /** Hashes an endpoint's name and a fingerprint with the finalizer of SplitMix64. */
  private static long weight(String endpoint, RequestFingerprint request) {
    long bits = request.high() ^ request.low() + endpoint.hashCode() * 0x9E3779B97F4A7C15L;
    bits = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
    bits = (bits ^ (bits >>> 27)) * 0x94D049BB133111EBL;
    return bits ^ (bits >>> 31);
  }
}
