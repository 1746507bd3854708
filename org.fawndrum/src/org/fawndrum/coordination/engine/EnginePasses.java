// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawndrum.state.EngineProfile;

/**
 * The passes of one engine, played ahead of what is heard of it. A pass reads what waits when it
 * begins and then takes a number of steps in which every answer is written on. So whatever is read
 * in a pass holds up all answers there, and first tokens come together at its end. Parts of prompts
 * that several engines read go before all others, the newest first. While answers are written a
 * pass reads a bounded number of tokens; while none are, it reads one prompt and stops when such a
 * part comes. First tokens that are seen set the model right. Confined to one thread; times are
 * those of the host's clock, in milliseconds.
 */
final class EnginePasses {
  /** By how much news of a first token may come late, in milliseconds: two daemons gather them. */
  private static final double NEWS_MS = 40;

  /**
   * A pass takes this long at least, in milliseconds, so that the model comes to the present also
   * where the operators' figures are missing.
   */
  private static final double SHORTEST_MS = 1;

  private final EngineProfile profile;
  private final Map<Long, EngineEntry> entries = new LinkedHashMap<>();
  private boolean running;
  private double passStartMs;
  private double passEndMs = Double.NEGATIVE_INFINITY;

  /** Whether the pass under way began without answers to write on, so that it can be stopped. */
  private boolean stoppable;

  /** The tokens that the pass under way could still take. */
  private long roomTokens;

  private double slowness = 1;

  /**
   * Makes the passes of an engine that has nothing to do.
   *
   * @param profile how fast it works; null for a plain service, which has no passes
   */
  EnginePasses(EngineProfile profile) {
    this.profile = profile;
  }

  Collection<EngineEntry> entries() {
    return entries.values();
  }

  EngineEntry entry(long id) {
    return entries.get(id);
  }

  /** Sets by how much the engine is slower than its profile says, for the passes that follow. */
  void pace(double newSlowness) {
    slowness = newSlowness;
  }

  /** Returns the most tokens that a pass reads while answers are written. */
  long passTokens() {
    return (long) profile.stepsPerPass() * profile.chunkTokens();
  }

  /** Returns how long the pass under way still takes, in milliseconds; 0 when there is none. */
  double remainMs(long nowMs) {
    return running ? Math.max(0, passEndMs - nowMs) : 0;
  }

  /** Plays the passes up to a time. */
  void advance(long nowMs) {
    while (running && passEndMs <= nowMs) {
      endPass(passEndMs);
      skipIdlePasses(nowMs);
      running = startPass(passEndMs);
    }
  }

  /** Passes that read nothing are all alike: goes to the last of them that began before a time. */
  private void skipIdlePasses(long nowMs) {
    double stepsMs = stepsIfWritingMs() * slowness;
    if (stepsMs > 0 && waiting().isEmpty()) {
      passEndMs += Math.floor((nowMs - passEndMs) / stepsMs) * stepsMs;
    }
  }

  /** Adds a job. One that was sent before the pass under way began is in that pass. */
  void add(EngineJob job, long nowMs) {
    advance(nowMs);
    EngineEntry entry = new EngineEntry(job, profile);
    entries.put(job.id(), entry);
    if (profile == null) {
      return;
    }
    double sentMs = Math.min(job.sentMs(), nowMs);
    if (!running) {
      running = startPass(Math.max(passEndMs, sentMs));
      advance(nowMs);
    } else if (stoppable && entry.shared()) {
      stopPass(nowMs - passStartMs, nowMs);
    } else if (sentMs < passStartMs && roomTokens > 0) {
      passEndMs += join(entry) * slowness;
    }
  }

  /**
   * Ends the pass under way now and begins the next with what it did not read.
   *
   * @param readMs for how long it has read what is in it
   */
  private void stopPass(double readMs, long nowMs) {
    double plannedMs = 0;
    for (EngineEntry entry : entries.values()) {
      plannedMs += entry.inPassMs * slowness;
    }
    double notRead = plannedMs <= 0 ? 0 : 1 - Math.max(0, readMs) / plannedMs;
    for (EngineEntry entry : entries.values()) {
      entry.giveBack(Math.max(0, notRead));
    }
    endPass(nowMs);
    passEndMs = nowMs;
    running = startPass(nowMs);
  }

  private double join(EngineEntry entry) {
    long some = Math.min(roomTokens, entry.leftTokens());
    roomTokens -= some;
    return entry.take(some);
  }

  /** Removes a job; what it still adds to the pass under way falls away. */
  void remove(long id, long nowMs) {
    EngineEntry entry = entries.remove(id);
    if (entry != null && running && entry.inPassMs > 0) {
      passEndMs = Math.max(nowMs, passEndMs - entry.inPassMs * slowness);
    }
  }

  /** Takes note that a first token was seen: a pass of this engine has just ended. */
  void confirm(EngineEntry entry, long nowMs) {
    advance(nowMs);
    boolean sooner = !entry.isRead();
    double lateMs = sooner ? 0 : nowMs - entry.readAtMs - NEWS_MS;
    double readMs = nowMs - passStartMs - (entry.inPassMs + stepsIfWritingMs()) * slowness;
    entry.confirm(nowMs);
    if (sooner) {
      // The pass was shorter than foreseen: it did not read all that seemed to be in it.
      stopPass(readMs, nowMs);
    } else if (lateMs > 0 && !entry.shared() && running) {
      passEndMs += lateMs;
    }
  }

  private void endPass(double atMs) {
    for (EngineEntry entry : entries.values()) {
      entry.passEnded(atMs);
    }
  }

  /** Begins a pass; returns false when there is nothing to do. */
  private boolean startPass(double atMs) {
    List<EngineEntry> writing = writing();
    List<EngineEntry> waiting = waiting();
    if (writing.isEmpty() && waiting.isEmpty()) {
      return false;
    }
    double readMs = 0;
    boolean writes = !writing.isEmpty();
    stoppable = !writes;
    if (!writes) {
      EngineEntry head = waiting.remove(0);
      readMs += head.take(head.leftTokens());
      writes = head.job.writes();
    }
    roomTokens = writes ? passTokens() : 0;
    for (EngineEntry entry : waiting) {
      readMs += join(entry);
    }
    double passMs = Math.max(SHORTEST_MS, (readMs + (writes ? stepsIfWritingMs() : 0)) * slowness);
    passStartMs = atMs;
    passEndMs = atMs + passMs;
    notePauses(writing, passMs);
    return true;
  }

  private static void notePauses(List<EngineEntry> writing, double passMs) {
    for (EngineEntry entry : writing) {
      long pauseMs = entry.job.aims().pauseMs();
      entry.paused |= pauseMs > 0 && passMs > pauseMs;
    }
  }

  /**
   * Returns how long the steps of a pass take at the usual pace if an answer is written in it, in
   * milliseconds; 0 when there is no work at all. The answers counted are those being written and
   * those that begin when the pass under way ends. With none of them this is the time that steps
   * take by themselves, which an engine that only reads does not take.
   */
  double stepsIfWritingMs() {
    int streams = 0;
    long context = 0;
    for (EngineEntry entry : entries.values()) {
      if (entry.writing() || entry.job.writes() && entry.leftTokens() == 0) {
        streams++;
        context += entry.tokens;
      }
    }
    return entries.isEmpty() ? 0 : profile.passMs(streams, context);
  }

  private List<EngineEntry> writing() {
    List<EngineEntry> writing = new ArrayList<>();
    for (EngineEntry entry : entries.values()) {
      if (entry.writing()) {
        writing.add(entry);
      }
    }
    return writing;
  }

  /** Tells whether a part of a prompt on several engines would be read at once. */
  boolean stoppable() {
    return !running || stoppable;
  }

  /** Returns what no pass has taken whole yet, in the order in which it is read. */
  List<EngineEntry> waiting() {
    List<EngineEntry> shared = new ArrayList<>();
    List<EngineEntry> alone = new ArrayList<>();
    for (EngineEntry entry : entries.values()) {
      if (entry.leftTokens() > 0) {
        (entry.shared() ? shared : alone).add(entry);
      }
    }
    Collections.reverse(shared);
    shared.addAll(alone);
    return shared;
  }
}
