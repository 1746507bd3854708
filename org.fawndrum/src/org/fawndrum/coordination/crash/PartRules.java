// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which parts of prompts crash endpoints. Requests that share such a part need not be alike
 * in anything else, while sound requests share their other parts.
 *
 * <p>A part may be the cause of a crash if the endpoint had a request with it to which no answer
 * had begun. Once an answer on it has begun anywhere and its endpoint goes on, earlier crashes no
 * longer count. Of the parts that remain, the one with the most crashes explains a crash.
 *
 * <p>Reads the state of the registry and changes nothing. Confined to its thread; times are those
 * of the host's clock, in milliseconds.
 */
final class PartRules {
  /** Minimum number of crashes, in as many bursts, before a part is rejected. */
  static final int MIN_CRASHES = 3;

  /**
   * How long the last crash that is needed must be past if two parts explain the same crashes, in
   * milliseconds. Meanwhile a sound request that has only one of them shows which one it is.
   */
  static final long UNDECIDED_MS = 1_000;

  /**
   * Time from a rejection to the first trial: requests that were under way have ended by then, and
   * answers that had begun have shown which parts are sound. In milliseconds.
   */
  static final long FIRST_TRIAL_MS = 1_000;

  /** Time from the first failed trial to the second; four times as long after each further one. */
  private static final long NEXT_TRIAL_MS = 30_000;

  private static final int TRIAL_BACKOFF = 4;

  /** Number of failed trials after which the time to the next one does not grow. */
  private static final int MAX_BACKOFFS = 5;

  private final CrashHistory history;
  private final Rejections rejections;
  private final Map<RequestFingerprint, Long> lastSoundMs;
  private final InconclusiveRunTable failedTrials;

  /**
   * Creates the rules over the state of a registry.
   *
   * @param lastSoundMs when an answer began on parts whose endpoint went on
   * @param failedTrials the trials of rejected parts that had no such answer
   */
  PartRules(
      CrashHistory history,
      Rejections rejections,
      Map<RequestFingerprint, Long> lastSoundMs,
      InconclusiveRunTable failedTrials) {
    this.history = history;
    this.rejections = rejections;
    this.lastSoundMs = lastSoundMs;
    this.failedTrials = failedTrials;
  }

  /** What is to be done about the parts of the known crashes. */
  record Decision(Map<RequestFingerprint, List<EndpointCrash>> causes, boolean undecided) {}

  /** Returns the parts that are to be rejected, with their crashes. */
  Decision decide(long nowMs) {
    Map<RequestFingerprint, Integer> crashCounts = crashCounts();
    Map<RequestFingerprint, List<EndpointCrash>> causes = new HashMap<>();
    boolean undecided = false;
    for (RequestFingerprint part : crashCounts.keySet()) {
      List<EndpointCrash> explained = explainedBy(part, crashCounts, nowMs);
      if (rejections.contains(part) || CrashRules.countBursts(explained) < MIN_CRASHES) {
        continue;
      }
      boolean isRecent = nowMs - sufficientSinceMs(explained) < UNDECIDED_MS;
      if (isRecent && isTied(part, explained, crashCounts)) {
        undecided = true;
      } else {
        causes.put(part, explained);
      }
    }
    return new Decision(causes, undecided);
  }

  /** Returns the settled crashes that no part explains better than the given one. */
  private List<EndpointCrash> explainedBy(
      RequestFingerprint part, Map<RequestFingerprint, Integer> crashCounts, long nowMs) {
    if (crashCounts.get(part) < MIN_CRASHES) {
      return List.of();
    }
    return crashesOf(part).stream()
        .filter(crash -> nowMs - crash.atMs() >= CrashRules.SETTLE_MS)
        .filter(crash -> !hasLikelierCause(crash, part, crashCounts))
        .toList();
  }

  /**
   * Returns the number of crashes that may count against each part. Also of those that are
   * rejected, which may have been a mistake: a part that was in all crashes of a rejected one is
   * rejected, too, and trials show which of the two is sound.
   */
  private Map<RequestFingerprint, Integer> crashCounts() {
    Map<RequestFingerprint, Integer> counts = new HashMap<>();
    history.parts().forEach(part -> counts.put(part, CrashRules.countBursts(crashesOf(part))));
    return counts;
  }

  /** Returns the crashes of a part since it was last known to be sound. */
  private List<EndpointCrash> crashesOf(RequestFingerprint part) {
    long soundMs = lastSoundMs.getOrDefault(part, Long.MIN_VALUE);
    return history.matching(crash -> crash.parts().contains(part) && crash.atMs() > soundMs);
  }

  private static boolean hasLikelierCause(
      EndpointCrash crash, RequestFingerprint part, Map<RequestFingerprint, Integer> crashCounts) {
    int own = crashCounts.get(part);
    return crash.parts().stream().anyMatch(other -> crashCounts.get(other) > own);
  }

  /** Returns whether another part was in all of these crashes, and in as many altogether. */
  private static boolean isTied(
      RequestFingerprint part,
      List<EndpointCrash> crashes,
      Map<RequestFingerprint, Integer> crashCounts) {
    Set<RequestFingerprint> inAll = new HashSet<>(crashes.get(0).parts());
    crashes.forEach(crash -> inAll.retainAll(crash.parts()));
    inAll.remove(part);
    int own = crashCounts.get(part);
    return inAll.stream().anyMatch(other -> crashCounts.get(other) >= own);
  }

  /** Returns when the last crash happened that was needed to reject a part. */
  private static long sufficientSinceMs(List<EndpointCrash> crashes) {
    return crashes.stream()
        .mapToLong(EndpointCrash::atMs)
        .sorted()
        .skip(MIN_CRASHES - 1)
        .findFirst()
        .orElse(Long.MAX_VALUE);
  }

  /** Returns the parts of a request's prompt that are rejected. */
  List<RequestFingerprint> rejectedPartsOf(RequestContent content) {
    return rejections.hasParts()
        ? content.parts().stream().filter(rejections::contains).toList()
        : List.of();
  }

  /**
   * Returns whether a request with rejected parts may run, one at a time over all hosts. If its
   * answer begins and its endpoint goes on, its rejected part was rejected by mistake. A request
   * with another suspect tries nothing, since a crash would not tell which of them is the cause.
   *
   * @param parts its rejected parts; not empty
   */
  boolean mayTry(RequestContent content, List<RequestFingerprint> parts, long nowMs) {
    RequestFingerprint tried = parts.get(0);
    return parts.size() == 1
        && isTrialDue(tried, nowMs)
        && content.parts().stream().noneMatch(other -> !other.equals(tried) && isSuspect(other));
  }

  private boolean isSuspect(RequestFingerprint part) {
    return CrashRules.countBursts(crashesOf(part)) >= CrashRules.SUSPECT_CRASHES;
  }

  /** Each failed trial may have cost an endpoint, so there are fewer and fewer. */
  private boolean isTrialDue(RequestFingerprint part, long nowMs) {
    int failed = failedTrials.runCount(part);
    if (failed == 0) {
      return nowMs >= rejections.sinceMs(part) + FIRST_TRIAL_MS;
    }
    int backoffs = Math.min(failed - 1, MAX_BACKOFFS);
    long pauseMs = NEXT_TRIAL_MS * Math.round(Math.pow(TRIAL_BACKOFF, backoffs));
    return nowMs >= failedTrials.lastStartedMs(part) + pauseMs;
  }
}
