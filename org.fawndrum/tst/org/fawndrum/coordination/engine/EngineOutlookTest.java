// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.statistics.Statistics;
import org.fawndrum.state.EngineProfile;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.RequestAims;

/** Holds every field of an outlook against its formula, over passes played beside the load. */
class EngineOutlookTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final HostIdentity ENGINE = new HostIdentity("e", 0);
  private static final long[] PROMPTS = {300, 5_000, 24_999, 25_000, 120_001};
  private static final long LONG_TOKENS = 25_000;
  private static final int STEPS = 40;
  private static final int JOBS = 12;

  private final EngineLoad load = new EngineLoad(PROFILE);
  private final EnginePasses passes = new EnginePasses(PROFILE);

  @Property(seed = "32", tries = 500)
  void eachFieldIsTheOneOfItsFormula(@ForAll Random random) {
    long nowMs = 0;
    for (int i = 0; i < STEPS; i++) {
      nowMs += random.nextInt(120);
      long id = random.nextInt(JOBS);
      switch (random.nextInt(4)) {
        case 0, 1 -> add(job(id, random, nowMs), nowMs);
        case 2 -> read(id, nowMs);
        default -> ended(id, nowMs);
      }
      EngineOutlook expected = formula(nowMs);
      assertEquals(expected, load.outlook(LONG_TOKENS, nowMs));
      collect(expected);
    }
  }

  private static void collect(EngineOutlook outlook) {
    cover("unread", !outlook.unread().isEmpty());
    cover("in the pass", outlook.unread().stream().anyMatch(EngineOutlook.Unread::inPass));
    cover("writing", !outlook.writing().isEmpty());
    cover("overdue", outlook.overdueMs() > 0);
    cover("shared", outlook.sharedMs() > 0);
    cover("helping", outlook.helping() > 0);
    cover("slow", outlook.slowness() > 1);
    cover("paused", outlook.writing().size() < outlook.streams() - outlook.unread().size());
  }

  private static void cover(String what, boolean seen) {
    Statistics.label(what)
        .collect(seen)
        .coverage(all -> all.check(true).percentage(part -> part > 1));
  }

  private static EngineJob job(long id, Random random, long nowMs) {
    int parts = random.nextInt(3) == 0 ? 2 + random.nextInt(4) : 1;
    boolean writes = parts == 1 || random.nextBoolean();
    long prompt = PROMPTS[random.nextInt(PROMPTS.length)];
    RequestAims aims = new RequestAims(300, random.nextBoolean() ? 250 : 0, 2);
    long sentMs = Math.max(0, nowMs - random.nextInt(30));
    return new EngineJob(id, ENGINE, prompt, prompt, parts, writes, aims, sentMs);
  }

  private void add(EngineJob job, long nowMs) {
    load.add(job, nowMs);
    if (passes.entry(job.id()) == null) {
      passes.pace(load.slowness(nowMs));
      passes.add(job, nowMs);
    }
  }

  private void read(long id, long nowMs) {
    load.read(id, nowMs);
    EngineEntry entry = passes.entry(id);
    if (entry == null || entry.confirmed) {
      return;
    }
    if (entry.job.writes()) {
      passes.confirm(entry, nowMs);
    } else {
      entry.confirm(nowMs);
    }
  }

  private void ended(long id, long nowMs) {
    load.ended(id, nowMs);
    passes.remove(id, nowMs);
  }

  /** Returns the outlook, written down field by field. */
  private EngineOutlook formula(long nowMs) {
    double pace = load.slowness(nowMs);
    passes.pace(pace);
    passes.advance(nowMs);
    double remainMs = passes.remainMs(nowMs);
    double overdueMs = 0;
    double sharedMs = 0;
    boolean sharedInPass = false;
    int streams = 0;
    int shortStreams = 0;
    int helping = 0;
    List<EngineJob> writing = new ArrayList<>();
    for (EngineEntry entry : passes.entries()) {
      EngineJob job = entry.job;
      boolean read = entry.isRead();
      boolean late = job.writes() && read && !entry.confirmed && job.parts() == 1;
      overdueMs = Math.max(overdueMs, late ? nowMs - entry.readAtMs : 0);
      sharedMs += job.parts() > 1 && !read ? entry.leftMs() * pace : 0;
      sharedInPass |= job.parts() > 1 && !read && entry.inPassMs > 0;
      streams += job.writes() ? 1 : 0;
      shortStreams += job.writes() && job.promptTokens() < LONG_TOKENS ? 1 : 0;
      helping += job.writes() || read ? 0 : 1;
      if (job.writes() && read && !entry.paused) {
        writing.add(job);
      }
    }
    EngineOutlook.Amount waiting = new EngineOutlook.Amount(0, 0);
    for (EngineEntry entry : passes.waiting()) {
      waiting = waiting.plus(new EngineOutlook.Amount(entry.leftMs() * pace, entry.leftTokens()));
    }
    return new EngineOutlook(
        remainMs,
        passes.stoppable(),
        overdueMs,
        passes.stepsIfWritingMs() * pace,
        waiting,
        sharedInPass ? sharedMs + remainMs : sharedMs,
        passes.passTokens(),
        pace,
        streams,
        shortStreams,
        helping,
        writing,
        unread(remainMs, remainMs + overdueMs + waiting.ms(), nowMs));
  }

  private List<EngineOutlook.Unread> unread(double remainMs, double afterAllMs, long nowMs) {
    List<EngineOutlook.Unread> unread = new ArrayList<>();
    for (EngineEntry entry : passes.entries()) {
      if (!entry.isRead()) {
        boolean inPass = entry.leftTokens() == 0;
        double firstMs = nowMs - entry.job.sentMs() + (inPass ? remainMs : afterAllMs);
        unread.add(new EngineOutlook.Unread(entry.job, inPass, firstMs));
      }
    }
    return unread;
  }
}
