// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import java.util.ArrayList;
import java.util.List;
import org.fawndrum.state.EngineProfile;

/**
 * The work that one endpoint has from all daemons, as far as is known, and how long it takes. Only
 * engines have times: for a plain service the work is counted, and the methods that return times
 * must not be called. Confined to one thread; times are those of the host's clock, in milliseconds.
 */
public final class EngineLoad {
  /** Weight of the newest observation in the pace. */
  private static final double NEWEST = 0.3;

  /** The most by which one observation may say that the endpoint is slower than expected. */
  private static final double SLOWEST = 20;

  /** The time after which half of an observed slowness is forgotten, in milliseconds. */
  private static final double HALF_LIFE_MS = 4_000;

  /** Observed times below this say nothing about the pace, in milliseconds. */
  private static final double SHORTEST_MS = 80;

  private final EngineProfile profile;
  private final EnginePasses passes;
  private double slowness = 1;
  private long observedMs;

  /**
   * Makes the load of an endpoint that has nothing to do.
   *
   * @param profile how fast it works; null for a plain service
   */
  public EngineLoad(EngineProfile profile) {
    this.profile = profile;
    this.passes = new EnginePasses(profile);
  }

  /** Adds work; the same work again changes nothing. */
  public void add(EngineJob job, long nowMs) {
    if (passes.entry(job.id()) == null) {
      passes.pace(slowness(nowMs));
      passes.add(job, nowMs);
    }
  }

  /** Takes note that a prompt has been read: its first token came. */
  public void read(long id, long nowMs) {
    EngineEntry entry = passes.entry(id);
    if (entry == null || entry.confirmed || profile == null) {
      return;
    }
    if (!entry.job.writes()) {
      // The part has been read for long; its engine's pass says nothing about it.
      entry.confirm(nowMs);
      return;
    }
    passes.advance(nowMs);
    observe(entry, nowMs);
    passes.confirm(entry, nowMs);
  }

  /** Holds the time that a prompt of one engine took against what the passes foresaw. */
  private void observe(EngineEntry entry, long nowMs) {
    double took = nowMs - entry.job.sentMs();
    if (entry.shared() || took < SHORTEST_MS) {
      return;
    }
    double expected = entry.isRead() ? entry.readAtMs - entry.job.sentMs() : took;
    double ratio = took / Math.max(SHORTEST_MS, expected);
    slowness = slowness(nowMs) * (1 - NEWEST) + Math.min(SLOWEST, Math.max(1, ratio)) * NEWEST;
    observedMs = nowMs;
  }

  /** Returns by how much the endpoint is slower than its profile says, at least 1. */
  public double slowness(long nowMs) {
    double kept = Math.pow(0.5, Math.max(0, nowMs - observedMs) / HALF_LIFE_MS);
    return 1 + (slowness - 1) * kept;
  }

  /** Takes note that work ended. */
  public void ended(long id, long nowMs) {
    passes.remove(id, nowMs);
  }

  /** Returns how much work there is, whatever its size. */
  public int size() {
    return passes.entries().size();
  }

  /** Returns the work whose answers are written there, read or not. */
  public int streams() {
    int count = 0;
    for (EngineEntry entry : passes.entries()) {
      count += entry.job.writes() ? 1 : 0;
    }
    return count;
  }

  /** Returns the cache memory that the known work may take, in tokens. */
  public long memoryTokens() {
    long sum = 0;
    for (EngineEntry entry : passes.entries()) {
      sum += entry.job.memoryTokens();
    }
    return sum;
  }

  /** Returns by how much the engine is behind what was expected of it, in milliseconds. */
  private double overdueMs(long nowMs) {
    double most = 0;
    for (EngineEntry entry : passes.entries()) {
      if (entry.writing() && !entry.confirmed && !entry.shared()) {
        most = Math.max(most, nowMs - entry.readAtMs);
      }
    }
    return most;
  }

  /**
   * Returns what the engine has before it.
   *
   * @param longTokens the length from which on a prompt does not count as short
   */
  EngineOutlook outlook(long longTokens, long nowMs) {
    double pace = slowness(nowMs);
    passes.pace(pace);
    passes.advance(nowMs);
    EngineOutlook.Amount waiting = waiting(pace);
    return new EngineOutlook(
        passes.remainMs(nowMs),
        passes.stoppable(),
        overdueMs(nowMs),
        passes.stepsIfWritingMs() * pace,
        waiting,
        sharedMs(pace, nowMs),
        passes.passTokens(),
        pace,
        streams(),
        shortStreams(longTokens),
        helping(),
        writing(),
        unread(waiting, nowMs));
  }

  /** Returns the answers written there, read or not, whose prompts are short. */
  private int shortStreams(long longTokens) {
    int count = 0;
    for (EngineEntry entry : passes.entries()) {
      count += entry.job.writes() && entry.job.promptTokens() < longTokens ? 1 : 0;
    }
    return count;
  }

  /** Returns the parts that it still has to read for other engines. */
  private int helping() {
    int count = 0;
    for (EngineEntry entry : passes.entries()) {
      count += !entry.isRead() && !entry.job.writes() ? 1 : 0;
    }
    return count;
  }

  /** Returns the answers being written there that have not paused for too long yet. */
  private List<EngineJob> writing() {
    List<EngineJob> writing = new ArrayList<>();
    for (EngineEntry entry : passes.entries()) {
      if (entry.writing() && !entry.paused) {
        writing.add(entry.job);
      }
    }
    return writing;
  }

  private List<EngineOutlook.Unread> unread(EngineOutlook.Amount waiting, long nowMs) {
    double passMs = passes.remainMs(nowMs);
    double allMs = passMs + overdueMs(nowMs) + waiting.ms();
    List<EngineOutlook.Unread> unread = new ArrayList<>();
    for (EngineEntry entry : passes.entries()) {
      if (!entry.isRead()) {
        boolean inPass = entry.leftTokens() == 0;
        double firstMs = nowMs - entry.job.sentMs() + (inPass ? passMs : allMs);
        unread.add(new EngineOutlook.Unread(entry.job, inPass, firstMs));
      }
    }
    return unread;
  }

  private EngineOutlook.Amount waiting(double pace) {
    double ms = 0;
    long tokens = 0;
    for (EngineEntry entry : passes.waiting()) {
      ms += entry.leftMs() * pace;
      tokens += entry.leftTokens();
    }
    return new EngineOutlook.Amount(ms, tokens);
  }

  /** Returns how long parts of prompts on several engines are still read, in milliseconds. */
  private double sharedMs(double pace, long nowMs) {
    double ms = 0;
    boolean inPass = false;
    for (EngineEntry entry : passes.entries()) {
      if (entry.shared() && !entry.isRead()) {
        ms += entry.leftMs() * pace;
        inPass |= entry.inPassMs > 0;
      }
    }
    return inPass ? ms + passes.remainMs(nowMs) : ms;
  }
}
