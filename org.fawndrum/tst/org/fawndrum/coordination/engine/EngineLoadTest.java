// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fawndrum.state.EngineProfile;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.RequestAims;
import org.junit.jupiter.api.Test;

/** What the model of one engine expects, and that nothing stays in it. */
class EngineLoadTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final HostIdentity ENGINE = new HostIdentity("e", 0);
  private static final RequestAims AIMS = new RequestAims(300, 250, 2);

  private final EngineLoad load = new EngineLoad(PROFILE);

  private static EngineJob job(long id, long tokens, int parts, long sentMs) {
    return new EngineJob(id, ENGINE, tokens, tokens + 100, parts, true, AIMS, sentMs);
  }

  /** Each number is a step: its remainder by three says which, the rest names the work. */
  @Property(seed = "99", tries = 300)
  void whateverComesInWhateverOrderNothingStays(
      @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 29) Integer> steps) {
    EngineLoad any = new EngineLoad(PROFILE);
    List<Long> ids = new ArrayList<>();
    long nowMs = 0;
    for (int step : steps) {
      nowMs += 7;
      long id = step / 3;
      switch (step % 3) {
        case 0 -> {
          any.add(job(id, 1_000 * (id + 1), 1, nowMs), nowMs);
          ids.add(id);
        }
        case 1 -> any.read(id, nowMs);
        default -> any.ended(id, nowMs);
      }
      assertTrue(any.unreadMs(nowMs) >= 0);
      assertTrue(any.firstTokenMs(5_000, 1, nowMs) > 0);
      assertTrue(any.slowness(nowMs) >= 1);
    }
    for (long id : ids) {
      any.ended(id, nowMs);
    }
    assertEquals(0, any.size());
    assertEquals(0, any.memoryTokens());
    assertEquals(0, any.unreadMs(nowMs));
  }

  @Test
  void sharedPromptsAreReadBeforeOthers() {
    load.add(job(1, 100_000, 1, 0), 0);
    double alone = load.firstTokenMs(50_000, 1, 0);
    double shared = load.firstTokenMs(50_000, 2, 0);
    assertTrue(shared < alone - 1_000, shared + " and " + alone);
  }

  @Test
  void aWaitingPromptIsExpectedLaterBehindASharedOne() {
    load.add(job(1, 100_000, 1, 0), 0);
    double before = load.waiting(0).get(0).firstTokenMs();
    load.add(job(2, 200_000, 2, 0), 0);
    assertTrue(load.waiting(0).get(0).firstTokenMs() > before + 1_000);
  }

  @Test
  void readingIsForeseenFromItsBeginning() {
    load.add(job(1, 100_000, 1, 0), 0);
    double whole = load.unreadMs(0);
    assertEquals(whole - 400, load.unreadMs(400), 1);
    assertTrue(load.unreadMs(60_000) > 0);
    assertTrue(load.overdueMs(60_000) > 50_000);
  }

  @Test
  void aSlowEngineIsSeenAsSlowForAWhile() {
    load.add(job(1, 20_000, 1, 0), 0);
    load.read(1, 2_000);
    double slow = load.slowness(2_000);
    assertTrue(slow > 2, "slowness " + slow);
    assertTrue(load.slowness(30_000) < 1.1);
  }
}
