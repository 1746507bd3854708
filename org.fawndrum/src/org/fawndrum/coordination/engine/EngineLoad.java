// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawndrum.state.EngineProfile;

/**
 * The work that one endpoint has from all daemons, as far as is known, and how long it takes. An
 * engine reads prompts one after the other, in the order in which they were sent, and those that
 * several engines read before all others. Only engines have times: for a plain service the work is
 * counted, and the methods that return times must not be called. Confined to one thread; times are
 * those of the host's clock, in milliseconds.
 */
public final class EngineLoad {
  /** What is left at least of a prompt whose end was not told yet, as a part of its time. */
  private static final double LEAST_LEFT = 0.1;

  /** Weight of the newest observation in the pace. */
  private static final double NEWEST = 0.3;

  /** The most by which one observation may say that the endpoint is slower than expected. */
  private static final double SLOWEST = 20;

  /** The time after which half of an observed slowness is forgotten, in milliseconds. */
  private static final double HALF_LIFE_MS = 4_000;

  /** Observed times below this say nothing about the pace, in milliseconds. */
  private static final double SHORTEST_MS = 80;

  private final EngineProfile profile;
  private final Map<Long, Entry> jobs = new LinkedHashMap<>();

  /** Since when the first unread prompt has been the first, by the host's clock. */
  private long headSinceMs;

  private double slowness = 1;
  private long observedMs;

  /** A job, when its first token was expected after it was sent, and whether it came. */
  private static final class Entry {
    final EngineJob job;
    final double expectedMs;
    boolean read;

    Entry(EngineJob job, double expectedMs) {
      this.job = job;
      this.expectedMs = expectedMs;
    }
  }

  /**
   * Makes the load of an endpoint that has nothing to do.
   *
   * @param profile how fast it works; null for a plain service
   */
  public EngineLoad(EngineProfile profile) {
    this.profile = profile;
  }

  /** Adds work; the same work again changes nothing. */
  public void add(EngineJob job, long nowMs) {
    if (jobs.containsKey(job.id())) {
      return;
    }
    double expectedMs = profile == null ? 0 : firstTokenMs(job.promptTokens(), job.parts(), nowMs);
    if (unread().isEmpty()) {
      headSinceMs = nowMs;
    }
    jobs.put(job.id(), new Entry(job, expectedMs));
  }

  /** Takes note that a prompt has been read. */
  public void read(long id, long nowMs) {
    Entry entry = jobs.get(id);
    if (entry == null || entry.read) {
      return;
    }
    entry.read = true;
    headSinceMs = nowMs;
    observe(entry, nowMs);
  }

  private void observe(Entry entry, long nowMs) {
    double took = nowMs - entry.job.sentMs();
    if (profile == null || entry.expectedMs <= 0 || took < SHORTEST_MS) {
      return;
    }
    double ratio = Math.min(SLOWEST, Math.max(1, took / Math.max(SHORTEST_MS, entry.expectedMs)));
    slowness = slowness(nowMs) * (1 - NEWEST) + ratio * NEWEST;
    observedMs = nowMs;
  }

  /** Returns by how much the endpoint is slower than its profile says, at least 1. */
  public double slowness(long nowMs) {
    double kept = Math.pow(0.5, Math.max(0, nowMs - observedMs) / HALF_LIFE_MS);
    return 1 + (slowness - 1) * kept;
  }

  /** Takes note that work ended. */
  public void ended(long id, long nowMs) {
    Entry entry = jobs.remove(id);
    if (entry != null && !entry.read) {
      headSinceMs = nowMs;
    }
  }

  /** Returns how much work there is, whatever its size. */
  public int size() {
    return jobs.size();
  }

  /** Returns the work whose answers are written there, read or not. */
  public int streams() {
    int count = 0;
    for (Entry entry : jobs.values()) {
      count += entry.job.writes() ? 1 : 0;
    }
    return count;
  }

  /** Returns the cache memory that the known work may take, in tokens. */
  public long memoryTokens() {
    long sum = 0;
    for (Entry entry : jobs.values()) {
      sum += entry.job.memoryTokens();
    }
    return sum;
  }

  private List<Entry> unread() {
    List<Entry> unread = new ArrayList<>();
    for (Entry entry : jobs.values()) {
      if (!entry.read) {
        unread.add(entry);
      }
    }
    return unread;
  }

  /** Returns the jobs whose answers are being written. */
  public Collection<EngineJob> writing() {
    List<EngineJob> writing = new ArrayList<>();
    for (Entry entry : jobs.values()) {
      if (entry.read && entry.job.writes()) {
        writing.add(entry.job);
      }
    }
    return writing;
  }

  /** Returns the time that reading what waits there takes, in milliseconds. */
  public double unreadMs(long nowMs) {
    return unreadMs(false, nowMs);
  }

  /**
   * Returns the time that reading takes, in milliseconds.
   *
   * @param shared only prompts that several engines read, which go before all others
   */
  private double unreadMs(boolean shared, long nowMs) {
    double sum = 0;
    boolean head = true;
    for (Entry entry : unread()) {
      if (shared && entry.job.parts() == 1) {
        continue;
      }
      sum += leftMs(entry, head, nowMs);
      head = false;
    }
    return sum * slowness(nowMs);
  }

  private double leftMs(Entry entry, boolean head, long nowMs) {
    double whole = profile.readMs(entry.job.promptTokens()) / entry.job.parts();
    return head ? Math.max(LEAST_LEFT * whole, whole - (nowMs - headSinceMs)) : whole;
  }

  /**
   * A prompt that waits to be read by this engine alone.
   *
   * @param job the work
   * @param firstTokenMs when its first token is expected, in milliseconds after it was sent
   */
  public record Waiting(EngineJob job, double firstTokenMs) {}

  /** Returns the prompts that would wait longer if a part of another came before them. */
  public List<Waiting> waiting(long nowMs) {
    List<Waiting> waiting = new ArrayList<>();
    double aheadMs = unreadMs(true, nowMs) + passMs(nowMs);
    boolean head = true;
    for (Entry entry : unread()) {
      if (entry.job.parts() == 1) {
        aheadMs += leftMs(entry, head, nowMs) * slowness(nowMs);
        waiting.add(new Waiting(entry.job, nowMs - entry.job.sentMs() + aheadMs));
      }
      head = false;
    }
    return waiting;
  }

  /** Returns how long the oldest unread prompt is overdue, in milliseconds; 0 when none is. */
  public double overdueMs(long nowMs) {
    double most = 0;
    for (Entry entry : unread()) {
      most = Math.max(most, nowMs - entry.job.sentMs() - entry.expectedMs);
    }
    return most;
  }

  /** Returns the time of a pass over what is written there, in milliseconds. */
  public double passMs(long nowMs) {
    int streams = 0;
    long context = 0;
    for (EngineJob job : writing()) {
      streams++;
      context += job.promptTokens() / job.parts();
    }
    return profile.passMs(streams, context) * slowness(nowMs);
  }

  /**
   * Returns the time to the first token of a prompt that is sent now, in milliseconds.
   *
   * @param parts how many engines share its reading
   */
  public double firstTokenMs(long promptTokens, int parts, long nowMs) {
    double passMs = passMs(nowMs);
    double waitMs = jobs.isEmpty() ? 0 : passMs / 2;
    double readMs = profile.readMs(promptTokens) / parts * slowness(nowMs);
    return waitMs + unreadMs(parts > 1, nowMs) + readMs + passMs;
  }
}
