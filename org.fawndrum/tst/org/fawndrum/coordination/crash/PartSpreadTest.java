// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * A fleet of hosts, and requests that share one part of their prompts, no two alike, which crash
 * each engine that begins an answer on it. Without a comparison of parts, one engine after the
 * other crashed for as long as they came. Few may reach engines, and sound requests that share the
 * other parts have to be served.
 */
class PartSpreadTest {
  private static final int SEEDS = 30;
  private static final long LENGTH_MS = 60_000;

  /** Number of crashes after which hosts have to know the part. */
  private static final int KNOWN_CRASHES = 5;

  /** Time that operators allow from that crash until hosts know it, in milliseconds. */
  private static final long DETECTION_MS = 3_000;

  /** Maximum number of requests with the part that reach engines after that. */
  private static final int MAX_ARRIVALS_AFTER = 3;

  /** Sound requests a second, over all workspaces. */
  private static final int SOUND_PER_SECOND = 24;

  private static final int WORKSPACES = 8;
  private static final int PARTS_PER_WORKSPACE = 6;

  /** Chance that a prompt has a given part of its workspace beyond the first. */
  private static final double PART_CHANCE = 0.4;

  private final List<TestContent> soundRequests = new ArrayList<>();
  private final List<Long> soundSentMs = new ArrayList<>();
  private long number;

  /** Part 0 of a workspace is the first part of all its prompts. */
  private static RequestFingerprint part(int workspace, int index) {
    return RequestFingerprint.ofPart("pool", 100L * workspace + index);
  }

  /** The part of a workspace that crashes engines. */
  private static RequestFingerprint deadlyPart(int workspace) {
    return part(workspace, PARTS_PER_WORKSPACE);
  }

  private TestContent sound(Random random, int workspace) {
    return new TestContent(++number, soundParts(random, workspace));
  }

  private static List<RequestFingerprint> soundParts(Random random, int workspace) {
    List<RequestFingerprint> parts = new ArrayList<>(List.of(part(workspace, 0)));
    for (int i = 1; i < PARTS_PER_WORKSPACE; i++) {
      if (random.nextDouble() < PART_CHANCE) {
        parts.add(part(workspace, i));
      }
    }
    return parts;
  }

  private void sendSound(CrashFleet fleet, Random random) {
    for (long atMs = 1; atMs < LENGTH_MS; atMs += 1_000 / SOUND_PER_SECOND) {
      // Few workspaces have most of the requests.
      double skewed = Math.pow(random.nextDouble(), 2);
      TestContent request = sound(random, (int) (WORKSPACES * skewed));
      soundRequests.add(request);
      soundSentMs.add(atMs);
      fleet.at(atMs, () -> fleet.send(request, false, fleet.anyHost()));
    }
  }

  private void sendDeadly(CrashFleet fleet, Random random, int workspace, long gapMs) {
    for (long atMs = 5_000; atMs < LENGTH_MS - 10_000; atMs += gapMs / 2 + random.nextLong(gapMs)) {
      List<RequestFingerprint> parts = new ArrayList<>(soundParts(random, workspace));
      parts.add(deadlyPart(workspace));
      TestContent request = new TestContent(++number, parts);
      fleet.at(atMs, () -> fleet.send(request, true, fleet.anyHost()));
    }
  }

  private long soundSent(RequestFingerprint part, long fromMs) {
    long sent = 0;
    for (int i = 0; i < soundRequests.size(); i++) {
      boolean counts = soundSentMs.get(i) > fromMs && soundRequests.get(i).parts().contains(part);
      sent += counts ? 1 : 0;
    }
    return sent;
  }

  /** Prepares a fleet; the requests are sent to it when it runs. */
  private interface Scenario {
    void prepare(CrashFleet fleet, Random random);
  }

  private void check(Scenario scenario, int... workspaces) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      soundRequests.clear();
      soundSentMs.clear();
      number = 0;
      CrashFleet fleet = new CrashFleet(seed);
      Random random = new Random(seed);
      sendSound(fleet, random);
      scenario.prepare(fleet, random);
      fleet.runTo(LENGTH_MS);
      for (int workspace : workspaces) {
        checkPart(fleet, workspace, seed);
      }
    }
  }

  private void checkPart(CrashFleet fleet, int workspace, long seed) {
    List<Long> crashes = fleet.crashesUnderPart(deadlyPart(workspace));
    long lastMs = crashes.get(Math.min(KNOWN_CRASHES, crashes.size()) - 1);
    long arrivals = fleet.arrivalsWithPart(deadlyPart(workspace), lastMs + DETECTION_MS);
    assertTrue(
        crashes.size() < KNOWN_CRASHES || arrivals <= MAX_ARRIVALS_AFTER,
        "seed " + seed + ": " + arrivals + " arrivals, crashes at " + crashes);
    long fromMs = lastMs + 2 * DETECTION_MS;
    long sent = soundSent(part(workspace, 0), fromMs);
    long rejected = fleet.innocentsRejected(part(workspace, 0), fromMs);
    assertTrue(2 * rejected <= sent, "seed " + seed + ": " + rejected + " of " + sent);
  }

  @Test
  void aFrequentPartReachesFewEngines() {
    check((fleet, random) -> sendDeadly(fleet, random, 1, 380), 1);
  }

  @Test
  void aRarePartReachesFewEngines() {
    check((fleet, random) -> sendDeadly(fleet, random, 1, 4_000), 1);
  }

  @Test
  void aPartOfAWorkspaceWithFewRequestsReachesFewEngines() {
    check((fleet, random) -> sendDeadly(fleet, random, 7, 380), 7);
  }

  @Test
  void twoPartsReachFewEngines() {
    check(
        (fleet, random) -> {
          sendDeadly(fleet, random, 1, 500);
          sendDeadly(fleet, random, 4, 600);
        },
        1,
        4);
  }

  @Test
  void enginesThatCrashForOtherCausesHideNoPart() {
    check(
        (fleet, random) -> {
          sendDeadly(fleet, random, 1, 380);
          for (long atMs = 4_000; atMs < LENGTH_MS; atMs += 2_000) {
            fleet.at(atMs, () -> fleet.crashTogether(1));
          }
        },
        1);
  }

  @Test
  void hostsThatRestartOrWereCutOffKnowThePart() {
    check(
        (fleet, random) -> {
          sendDeadly(fleet, random, 1, 380);
          fleet.at(4_000, () -> fleet.cut(0, true));
          fleet.at(9_000, () -> fleet.cut(0, false));
          for (int host = 1; host < CrashFleet.HOSTS; host++) {
            int restarted = host;
            fleet.at(9_000 + 3_000L * host, () -> fleet.restart(restarted));
          }
        },
        1);
  }
}
