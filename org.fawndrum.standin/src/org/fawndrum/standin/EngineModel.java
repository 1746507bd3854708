// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawndrum.coordination.EarliestFirstTokenPlacement;
import org.fawndrum.coordination.LoadReport;

/**
 * Simulates a model engine in discrete steps. Each step processes a bounded number of tokens: it
 * first decodes one token for each decoding stream, then prefills prompts in order of priority.
 * Memory is limited: a stream reserves memory for its prompt and its longest answer and releases it
 * on completion. The remaining memory caches prompt prefixes, with least-recently-used eviction.
 * Confined to one thread; reads no clock.
 */
public final class EngineModel {
  private static final double MS_PER_SECOND = 1000.0;

  /** Maximum number of cache changes that are retained. */
  private static final int MAX_CACHE_CHANGES = 1_024;

  private final Settings settings;
  private final List<Stream> queued = new ArrayList<>();
  private final List<Stream> running = new ArrayList<>();
  private final Map<String, Stream> streams = new HashMap<>();
  private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private final List<CacheChange> cacheChanges = new ArrayList<>();
  private long usedTokens;
  private long arrivals;
  private long processedTokens;
  private long nextCacheChange;

  /**
   * The capacity of an engine.
   *
   * @param memoryTokens memory for streams and the prefix cache, in tokens
   * @param stepTokens maximum number of tokens processed in one step
   * @param stepMs duration of a step, in milliseconds
   */
  public record Settings(long memoryTokens, int stepTokens, long stepMs) {
    /** Returns the prefill rate of an otherwise idle engine, in tokens per second. */
    public long tokensPerSecond() {
      return (long) (stepTokens * MS_PER_SECOND / stepMs);
    }
  }

  /**
   * A stream to run on the engine.
   *
   * @param attempt the id of the attempt
   * @param ownerHost the host that owns the stream and its memory
   * @param ownerIncarnation the incarnation of the owner
   * @param promptTokens length of the prompt, in tokens
   * @param answerTokens length of the answer, in tokens
   * @param priority priority from 0 to 9, the highest
   * @param from position of the first token to send
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

  /** A token of a stream, or the completion of the stream if {@code end} is set. */
  public record Output(String attempt, long at, boolean end) {}

  /** A numbered change of the prefix cache. */
  public record CacheChange(long number, List<Long> stored, List<Long> evicted) {}

  /** A stream with its remaining prefill tokens and the position of its answer. */
  private static final class Stream {
    final Job job;
    final long arrivalNumber;
    long prefillTokens;
    long position;

    Stream(Job job, long arrivalNumber) {
      this.job = job;
      this.arrivalNumber = arrivalNumber;
      this.prefillTokens = job.promptTokens() + job.from();
      this.position = job.from();
    }
  }

  private static final Comparator<Stream> BY_PRIORITY =
      Comparator.<Stream>comparingInt(stream -> -stream.job.priority())
          .thenComparingLong(stream -> stream.arrivalNumber);

  /** Creates an idle engine with an empty cache. */
  public EngineModel(Settings settings) {
    this.settings = settings;
  }

  /** Adds a stream; returns false if it can never fit into memory or its id is in use. */
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

  /** Removes a stream and releases its memory; returns whether it existed. */
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

  /** Whether there are no streams. */
  public boolean isIdle() {
    return streams.isEmpty();
  }

  /** Runs one step and returns its outputs, in order. */
  public List<Output> step() {
    admit();
    List<Output> outputs = new ArrayList<>();
    long budget = settings.stepTokens();
    for (Stream stream : List.copyOf(running)) {
      if (stream.prefillTokens == 0 && budget > 0) {
        budget--;
        decode(stream, outputs);
      }
    }
    budget = prefill(budget, outputs);
    processedTokens += settings.stepTokens() - budget;
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
      long cached = cachedBlocks(stream.job.prefixes()) * EarliestFirstTokenPlacement.BLOCK_TOKENS;
      stream.prefillTokens = Math.max(1, stream.prefillTokens - cached);
      evict();
    }
  }

  private long prefill(long budget, List<Output> outputs) {
    List<Stream> prefilling = new ArrayList<>();
    for (Stream stream : running) {
      if (stream.prefillTokens > 0) {
        prefilling.add(stream);
      }
    }
    prefilling.sort(BY_PRIORITY);
    long remaining = budget;
    for (Stream stream : prefilling) {
      long tokens = Math.min(remaining, stream.prefillTokens);
      stream.prefillTokens -= tokens;
      remaining -= tokens;
      if (stream.prefillTokens == 0 && tokens > 0) {
        store(stream.job.prefixes());
        decode(stream, outputs);
      }
      if (remaining == 0) {
        break;
      }
    }
    return remaining;
  }

  private void decode(Stream stream, List<Output> outputs) {
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
      recordCacheChange(stored, List.of());
    }
    evict();
  }

  private void evict() {
    long capacityBlocks =
        (settings.memoryTokens() - usedTokens) / EarliestFirstTokenPlacement.BLOCK_TOKENS;
    List<Long> evicted = new ArrayList<>();
    Iterator<Long> oldest = cache.keySet().iterator();
    while (cache.size() > capacityBlocks && oldest.hasNext()) {
      evicted.add(oldest.next());
      oldest.remove();
    }
    if (!evicted.isEmpty()) {
      recordCacheChange(List.of(), evicted);
    }
  }

  private void recordCacheChange(List<Long> stored, List<Long> evicted) {
    cacheChanges.add(new CacheChange(nextCacheChange++, stored, evicted));
    if (cacheChanges.size() > MAX_CACHE_CHANGES) {
      cacheChanges.remove(0);
    }
  }

  /** Returns the retained cache changes from a number on; dropped older ones leave a gap. */
  public List<CacheChange> cacheChanges(long from) {
    return cacheChanges.stream().filter(change -> change.number() >= from).toList();
  }

  /** Returns the number that the next cache change will get. */
  public long nextCacheChange() {
    return nextCacheChange;
  }

  /** Returns a load report with the given sequence number. */
  public LoadReport load(long sequence) {
    long[] backlog = new long[LoadReport.PRIORITIES];
    for (Stream stream : streams.values()) {
      backlog[stream.job.priority()] += stream.prefillTokens;
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

  /** Returns the memory reserved by running streams, in tokens. */
  public long usedTokens() {
    return usedTokens;
  }

  /** Returns the number of tokens processed since the start. */
  public long processedTokens() {
    return processedTokens;
  }

  /** Returns the running and queued jobs. */
  public List<Job> jobs() {
    return streams.values().stream().map(stream -> stream.job).toList();
  }

  /** Removes all streams of an owner up to an incarnation; returns the ids of their attempts. */
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
