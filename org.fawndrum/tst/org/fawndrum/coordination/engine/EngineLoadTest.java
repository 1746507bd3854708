// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
  private static final long LONG_TOKENS = 25_000;

  /** The steps of a pass with one answer, rounded up, in milliseconds. */
  private static final long STEPS_MS = 46;

  private final EngineLoad load = new EngineLoad(PROFILE);

  private static EngineJob job(long id, long tokens, int parts, long sentMs) {
    return new EngineJob(id, ENGINE, tokens, tokens + 100, parts, true, AIMS, sentMs);
  }

  private static EngineJob partOf(long id, long tokens, int parts, long sentMs) {
    return new EngineJob(id, ENGINE, tokens, 0, parts, false, AIMS, sentMs);
  }

  private static EngineOutlook.Amount part(long promptTokens, int parts) {
    return new EngineOutlook.Amount(PROFILE.readMs(promptTokens) / parts, promptTokens / parts);
  }

  private EngineOutlook outlook(long nowMs) {
    return load.outlook(LONG_TOKENS, nowMs);
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
          any.add(job(id, 1_000 * (id + 1), 1 + (int) (id % 3), nowMs), nowMs);
          ids.add(id);
        }
        case 1 -> any.read(id, nowMs);
        default -> any.ended(id, nowMs);
      }
      EngineOutlook outlook = any.outlook(LONG_TOKENS, nowMs);
      assertTrue(outlook.remainMs() >= 0 && outlook.waiting().ms() >= 0);
      assertTrue(outlook.aloneMs(part(1_000, 1)) > 0 && outlook.sharedMs() >= 0);
      assertTrue(any.slowness(nowMs) >= 1);
    }
    for (long id : ids) {
      any.ended(id, nowMs);
    }
    assertEquals(0, any.size());
    assertEquals(0, any.memoryTokens());
    assertEquals(0, any.outlook(LONG_TOKENS, nowMs).waiting().ms());
    assertEquals(0, any.outlook(LONG_TOKENS, nowMs + 60_000).remainMs());
  }

  @Test
  void anIdleEngineReadsAtOnceAndWritesAtTheEndOfThePass() {
    load.add(job(1, 50_000, 1, 0), 0);
    double wholeMs = PROFILE.readMs(50_000) + PROFILE.passMs(1, 50_000);
    assertEquals(wholeMs, outlook(0).remainMs(), 0.001);
    assertEquals(outlook(0).remainMs() - 100, outlook(100).remainMs(), 1);
  }

  @Test
  void whatComesDuringAPassWaitsForTheNextOne() {
    load.add(job(1, 50_000, 1, 0), 0);
    double remainMs = outlook(50).remainMs();
    load.add(job(2, 20_000, 1, 50), 50);
    assertEquals(remainMs, outlook(50).remainMs(), 0.001);
    assertEquals(PROFILE.readMs(20_000), outlook(50).waiting().ms(), 0.001);
  }

  @Test
  void whatWasSentBeforeThePassBeganIsInItHoweverLateOneHears() {
    load.add(job(1, 50_000, 1, 30), 30);
    double remainMs = outlook(50).remainMs();
    load.add(job(2, 20_000, 1, 20), 50);
    assertEquals(remainMs + PROFILE.readMs(20_000), outlook(50).remainMs(), 2);
  }

  @Test
  void answersStandStillWhileThePassReads() {
    load.add(job(1, 5_000, 1, 0), 0);
    load.read(1, 70);
    double calmMs = outlook(80).pauseMs();
    EngineOutlook.Amount part = part(50_000, 1);
    assertEquals(calmMs + part.ms(), outlook(80).pauseMs(part), 0.001);
    load.add(job(2, 50_000, 1, 80), 80);
    load.add(job(3, 50_000, 1, 80), 80);
    // The next pass reads them, so that the first answer has paused for too long.
    assertFalse(outlook(200).writing().stream().anyMatch(one -> one.id() == 1));
  }

  @Test
  void aPassReadsABoundedNumberOfTokensWhileAnswersAreWritten() {
    load.add(job(1, 5_000, 1, 0), 0);
    load.read(1, 70);
    EngineOutlook.Amount part = part(200_000, 1);
    double pauseMs = outlook(80).pauseMs(part);
    assertTrue(pauseMs < part.ms() / 2 + STEPS_MS, pauseMs + " of " + part.ms());
  }

  @Test
  void partsOfSharedPromptsGoBeforeOthersThatWaitTheNewestFirst() {
    EnginePasses passes = new EnginePasses(PROFILE);
    passes.add(job(1, 5_000, 1, 0), 0);
    passes.advance(100);
    passes.add(job(2, 20_000, 1, 101), 101);
    passes.add(partOf(3, 60_000, 3, 102), 102);
    passes.add(partOf(4, 60_000, 3, 103), 103);
    List<Long> order = passes.waiting().stream().map(one -> one.job.id()).toList();
    assertEquals(List.of(4L, 3L, 2L), order);
  }

  @Test
  void aNewPartStopsAReadingWhileNoAnswerIsWritten() {
    load.add(partOf(1, 200_000, 2, 0), 0);
    double wholeMs = outlook(0).sharedMs();
    load.add(partOf(2, 40_000, 2, 500), 500);
    double partMs = PROFILE.readMs(40_000) / 2;
    assertEquals(partMs, outlook(500).remainMs(), 1);
    assertEquals(wholeMs - 500 + partMs, outlook(500).sharedMs(), 1);
    assertEquals(
        partMs, outlook(500).sharedMs(part(40_000, 2)) - outlook(500).stepsIfWritingMs(), 0.001);
  }

  @Test
  void aNewPartWaitsForTheEndOfThePassWhileAnAnswerIsWritten() {
    load.add(job(1, 5_000, 1, 0), 0);
    load.read(1, 70);
    load.add(partOf(2, 100_000, 2, 80), 80);
    EngineOutlook busy = outlook(200);
    assertFalse(busy.stoppable());
    assertTrue(busy.sharedMs(part(10_000, 2)) > busy.remainMs());
  }

  @Test
  void aPartHasBeenReadWhenItsTimeIsOverAlthoughNobodySaysSo() {
    load.add(partOf(1, 100_000, 4, 0), 0);
    assertEquals(1, outlook(10).helping());
    EngineOutlook later = outlook(5_000);
    assertEquals(0, later.helping());
    assertEquals(0, later.remainMs() + later.waiting().ms() + later.overdueMs());
  }

  @Test
  void aFirstTokenThatComesSoonerThanExpectedEndsThePass() {
    load.add(job(1, 100_000, 1, 0), 0);
    load.add(job(2, 5_000, 1, 10), 10);
    load.read(1, 200);
    assertEquals(0, outlook(200).waiting().ms());
    assertTrue(outlook(200).remainMs() < 2 * STEPS_MS);
  }

  @Test
  void aPassThatEndsSoonerHasNotReadTheOtherPartsInIt() {
    load.add(job(1, 5_000, 1, 0), 0);
    load.read(1, 70);
    load.add(job(2, 5_000, 1, 71), 71);
    load.add(partOf(3, 200_000, 4, 72), 72);
    double wholeMs = outlook(72).sharedMs();
    // Both are in the pass that begins next; the first token of one shows that the other was not.
    load.read(2, 200);
    assertTrue(outlook(200).sharedMs() > wholeMs / 2, outlook(200) + " of " + wholeMs);
  }

  @Test
  void anEngineThatIsBehindIsExpectedToStayBehind() {
    load.add(job(1, 20_000, 1, 0), 0);
    assertTrue(outlook(60_000).overdueMs() > 50_000);
  }

  @Test
  void aSlowEngineIsSeenAsSlowForAWhile() {
    load.add(job(1, 20_000, 1, 0), 0);
    load.read(1, 2_000);
    double slow = load.slowness(2_000);
    assertTrue(slow > 2, "slowness " + slow);
    assertTrue(load.slowness(30_000) < 1.1);
  }

  /** Operators may leave figures out; the model must still come to the present. */
  @Test
  void anEngineWithoutFiguresForItsStepsHasPassesAllTheSame() {
    EngineLoad odd = new EngineLoad(new EngineProfile(11, 232_000, 0, 0, 0, 0, 206, 0, 0, 0));
    odd.add(job(1, 1_000, 1, 0), 0);
    odd.read(1, 10);
    odd.add(job(2, 1_000, 1, 20), 20);
    assertEquals(2, odd.outlook(LONG_TOKENS, 1_000).streams());
  }

  @Test
  void aPlainServiceIsOnlyCounted() {
    EngineLoad plain = new EngineLoad(null);
    plain.add(new EngineJob(1, ENGINE, 0, 0, 1, true, AIMS, 0), 0);
    plain.read(1, 10);
    assertEquals(1, plain.size());
    plain.ended(1, 20);
    assertEquals(0, plain.size());
  }
}
