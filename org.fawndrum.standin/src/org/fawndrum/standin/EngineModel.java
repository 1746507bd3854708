// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawndrum.coordination.ExpectedFinishPlacement;
import org.fawndrum.coordination.LoadReport;

/**
 * A model engine by steps. Each step reads and writes a bounded number of tokens: first one token
 * for each stream that answers, then prompts in order of priority. Memory is limited; a stream
 * takes what its prompt and longest answer need and frees it at its end. What is left caches prompt
 * prefixes, the least recently used forgotten first. Confined to one thread; reads no clock.
 */
public final class EngineModel {
  private static final double MS_PER_SECOND = 1000.0;
  private static final int MOST_EVENTS_KEPT = 1_024;

  private final Settings settings;
  private final List<Stream> queued = new ArrayList<>();
  private final List<Stream> running = new ArrayList<>();
  private final Map<String, Stream> streams = new HashMap<>();
  private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private final List<CacheChange> cacheChanges = new ArrayList<>();
  private long usedTokens;
  private long arrivals;
  private long workedTokens;
  private long nextCacheChange;

  /**
   * What an engine can do.
   *
   * @param memoryTokens cache memory, in tokens
   * @param stepTokens tokens read and written in one step
   * @param stepMs the time of one step, in milliseconds
   */
  public record Settings(long memoryTokens, int stepTokens, long stepMs) {
    /** Returns how many prompt tokens are read a second when nothing else runs. */
    public long tokensPerSecond() {
      return (long) (stepTokens * MS_PER_SECOND / stepMs);
    }
  }

  /**
   * A stream to run.
   *
   * @param attempt its name
   * @param ownerHost who owns what it holds
   * @param ownerIncarnation which life of the owner
   * @param promptTokens the prompt's length
   * @param answerTokens the answer's length
   * @param priority 0 to 9
   * @param from the first position to answer
   * @param prefixes hashes of the prompt's leading blocks
   */
  public record Job(
      String attempt,
      String ownerHost,
      long ownerIncarnation,
      long promptTokens,
      long answerTokens,
      int priority,
      long from,
      List<Long> prefixes) {
    long memory() {
      return promptTokens + answerTokens;
    }
  }

  /** A token of a stream, or its end when {@code end} is set. */
  public record Output(String attempt, long at, boolean end) {}

  /** A change of the prefix cache. */
  public record CacheChange(long number, List<Long> stored, List<Long> evicted) {}

  /** A stream with what is left to read and where its answer stands. */
  private static final class Stream {
    final Job job;
    final long order;
    long toRead;
    long position;

    Stream(Job job, long order) {
      this.job = job;
      this.order = order;
      this.toRead = job.promptTokens() + job.from();
      this.position = job.from();
    }
  }

  private static final Comparator<Stream> BY_PRIORITY =
      Comparator.<Stream>comparingInt(stream -> -stream.job.priority())
          .thenComparingLong(stream -> stream.order);

  /** Makes an idle engine with an empty cache. */
  public EngineModel(Settings settings) {
    this.settings = settings;
  }

  /** Takes a stream; returns false when it can never fit into memory or its name is in use. */
  public boolean submit(Job job) {
    if (job.memory() > settings.memoryTokens() || streams.containsKey(job.attempt())) {
      return false;
    }
    Stream stream = new Stream(job, arrivals++);
    streams.put(job.attempt(), stream);
    queued.add(stream);
    queued.sort(BY_PRIORITY);
    return true;
  }

  /** Ends a stream and frees what it holds; returns whether there was one. */
  public boolean cancel(String attempt) {
    Stream stream = streams.remove(attempt);
    if (stream == null) {
      return false;
    }
    if (running.remove(stream)) {
      usedTokens -= stream.job.memory();
    } else {
      queued.remove(stream);
    }
    return true;
  }

  /** Tells whether there is anything to do. */
  public boolean idle() {
    return streams.isEmpty();
  }

  /** Runs one step and returns what came of it, in order. */
  public List<Output> step() {
    admit();
    List<Output> outputs = new ArrayList<>();
    long budget = settings.stepTokens();
    for (Stream stream : List.copyOf(running)) {
      if (stream.toRead == 0 && budget > 0) {
        budget--;
        write(stream, outputs);
      }
    }
    budget = read(budget, outputs);
    workedTokens += settings.stepTokens() - budget;
    return outputs;
  }

  private void admit() {
    Iterator<Stream> waiting = queued.iterator();
    while (waiting.hasNext()) {
      Stream stream = waiting.next();
      if (usedTokens + stream.job.memory() > settings.memoryTokens()) {
        continue;
      }
      waiting.remove();
      usedTokens += stream.job.memory();
      running.add(stream);
      long cached = cachedBlocks(stream.job.prefixes()) * ExpectedFinishPlacement.BLOCK_TOKENS;
      stream.toRead = Math.max(1, stream.toRead - cached);
      evict();
    }
  }

  private long read(long budget, List<Output> outputs) {
    List<Stream> reading = new ArrayList<>();
    for (Stream stream : running) {
      if (stream.toRead > 0) {
        reading.add(stream);
      }
    }
    reading.sort(BY_PRIORITY);
    long left = budget;
    for (Stream stream : reading) {
      long read = Math.min(left, stream.toRead);
      stream.toRead -= read;
      left -= read;
      if (stream.toRead == 0 && read > 0) {
        store(stream.job.prefixes());
        write(stream, outputs);
      }
      if (left == 0) {
        break;
      }
    }
    return left;
  }

  private void write(Stream stream, List<Output> outputs) {
    if (stream.position < stream.job.answerTokens()) {
      outputs.add(new Output(stream.job.attempt(), stream.position, false));
      stream.position++;
    }
    if (stream.position >= stream.job.answerTokens()) {
      outputs.add(new Output(stream.job.attempt(), stream.position, true));
      cancel(stream.job.attempt());
    }
  }

  private long cachedBlocks(List<Long> prefixes) {
    int blocks = 0;
    while (blocks < prefixes.size() && cache.get(prefixes.get(blocks)) != null) {
      blocks++;
    }
    return blocks;
  }

  private void store(List<Long> prefixes) {
    List<Long> stored = new ArrayList<>();
    for (Long prefix : prefixes) {
      if (cache.put(prefix, Boolean.TRUE) == null) {
        stored.add(prefix);
      }
    }
    if (!stored.isEmpty()) {
      changed(stored, List.of());
    }
    evict();
  }

  private void evict() {
    long room = (settings.memoryTokens() - usedTokens) / ExpectedFinishPlacement.BLOCK_TOKENS;
    List<Long> evicted = new ArrayList<>();
    Iterator<Long> oldest = cache.keySet().iterator();
    while (cache.size() > room && oldest.hasNext()) {
      evicted.add(oldest.next());
      oldest.remove();
    }
    if (!evicted.isEmpty()) {
      changed(List.of(), evicted);
    }
  }

  private void changed(List<Long> stored, List<Long> evicted) {
    cacheChanges.add(new CacheChange(nextCacheChange++, stored, evicted));
    if (cacheChanges.size() > MOST_EVENTS_KEPT) {
      cacheChanges.remove(0);
    }
  }

  /** Returns the kept cache changes from a number on; older ones are gone, which is a gap. */
  public List<CacheChange> cacheChanges(long from) {
    return cacheChanges.stream().filter(change -> change.number() >= from).toList();
  }

  /** Returns the number of the next cache change. */
  public long nextCacheChange() {
    return nextCacheChange;
  }

  /** Returns the load, numbered by the caller. */
  public LoadReport load(long sequence) {
    long[] backlog = new long[LoadReport.PRIORITIES];
    for (Stream stream : streams.values()) {
      backlog[stream.job.priority()] += stream.toRead;
    }
    return new LoadReport(
        sequence,
        backlog,
        settings.memoryTokens() - usedTokens - queuedMemory(),
        streams.size(),
        settings.tokensPerSecond());
  }

  private long queuedMemory() {
    return queued.stream().mapToLong(stream -> stream.job.memory()).sum();
  }

  /** Returns the memory that streams hold, in tokens. */
  public long usedTokens() {
    return usedTokens;
  }

  /** Returns the tokens read and written since the start. */
  public long workedTokens() {
    return workedTokens;
  }

  /** Returns the jobs that run or wait. */
  public List<Job> jobs() {
    return streams.values().stream().map(stream -> stream.job).toList();
  }

  /** Ends every stream of an owner's incarnations up to one; returns the attempts ended. */
  public List<String> sweep(String ownerHost, long upToIncarnation) {
    List<String> ended =
        jobs().stream()
            .filter(job -> job.ownerHost().equals(ownerHost))
            .filter(job -> job.ownerIncarnation() <= upToIncarnation)
            .map(Job::attempt)
            .toList();
    ended.forEach(this::cancel);
    return ended;
  }
}
