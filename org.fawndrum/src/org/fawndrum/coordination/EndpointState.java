// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.HashMap;
import java.util.Map;
import org.fawndrum.coordination.engine.EngineLoad;
import org.fawndrum.coordination.engine.EngineModelPlacement;
import org.fawndrum.state.Endpoint;

/**
 * What this host knows of one endpoint incarnation: its last load report and what this host has
 * sent since that the report cannot contain yet. Confined to one thread.
 */
public final class EndpointState {
  /** Assumed speed of an engine that has not reported yet, in prompt tokens a second. */
  public static final long ASSUMED_TOKENS_PER_SECOND = 20_000;

  /** How long an endpoint rests after its first failure, in milliseconds; doubled with each. */
  private static final long FIRST_BACKOFF_MS = 500;

  private static final int MOST_DOUBLINGS = 4;
  private static final long LONGEST_BACKOFF_MS = 8_000;

  /** For how long an endpoint's own report goes before what peers tell, in milliseconds. */
  private static final long OWN_REPORT_MS = 1_000;

  private static final double MS_PER_SECOND = 1000.0;

  private final EndpointRests rests;
  private Endpoint endpoint;
  private LoadReport report;
  private long reportedAtMs;
  private final Map<AttemptId, Sent> sent = new HashMap<>();
  private final long[] unreported = new long[LoadReport.PRIORITIES];
  private long unreportedMemory;
  private final CachedPrefixes prefixes;
  private int failuresInRow;
  private long avoidUntilMs;
  private EngineLoad load;

  /** What one attempt adds to the endpoint's load. */
  private static final class Sent {
    final int priority;
    final long promptTokens;
    final long memoryTokens;
    final long sentAtMs;
    boolean reported;

    Sent(int priority, long promptTokens, long memoryTokens, long sentAtMs) {
      this.priority = priority;
      this.promptTokens = promptTokens;
      this.memoryTokens = memoryTokens;
      this.sentAtMs = sentAtMs;
    }
  }

  EndpointState(Endpoint endpoint, int engines, EndpointRests rests) {
    this.endpoint = endpoint;
    this.rests = rests;
    this.prefixes = new CachedPrefixes(engines);
    this.load = new EngineLoad(endpoint.engine().orElse(null));
  }

  /** Returns the endpoint. */
  public Endpoint endpoint() {
    return endpoint;
  }

  /** Takes over a newer description; a changed engine profile begins a new, empty load. */
  void describe(Endpoint newer) {
    boolean sameEngine = newer.engine().equals(endpoint.engine());
    endpoint = newer;
    if (!sameEngine) {
      load = new EngineLoad(newer.engine().orElse(null));
    }
  }

  /** Returns how many attempts of this host are on the endpoint. */
  public int inFlight() {
    return sent.size();
  }

  /** Returns the work there from all daemons, as far as is known. */
  public EngineLoad load() {
    return load;
  }

  /** Returns the time that the endpoint needs at least to read a prompt, in milliseconds. */
  long shortestReadMs(long promptTokens) {
    return endpoint
        .engine()
        .map(profile -> (long) (profile.readMs(promptTokens) / EngineModelPlacement.MOST_ENGINES))
        .orElseGet(() -> (long) (promptTokens * MS_PER_SECOND / tokensPerSecond()));
  }

  /** Returns what is known of the endpoint's prefix cache. */
  CachedPrefixes prefixes() {
    return prefixes;
  }

  /** Takes a load report, unless a newer one is known. */
  void reported(LoadReport newer, long nowMs) {
    if (report == null || newer.sequence() > report.sequence()) {
      take(newer, nowMs);
    }
  }

  /** Takes a load that a peer told, unless the endpoint itself reported lately. */
  void told(LoadReport load, long nowMs) {
    if (report != null && nowMs - reportedAtMs < OWN_REPORT_MS) {
      return;
    }
    long sequence = report == null ? 0 : report.sequence();
    long speed = Math.max(load.tokensPerSecond(), 1);
    take(
        new LoadReport(sequence, load.backlogTokens(), load.freeTokens(), load.streams(), speed),
        nowMs);
  }

  private void take(LoadReport newer, long nowMs) {
    long coversUntilMs = reportedAtMs;
    report = newer;
    reportedAtMs = nowMs;
    for (Sent one : sent.values()) {
      // A report may have been made before what was sent since the one before it had arrived.
      if (one.sentAtMs <= coversUntilMs) {
        countAsReported(one);
      }
    }
  }

  /** Takes note of an attempt that is sent now. */
  void sending(AttemptId attempt, int priority, long promptTokens, long memory, long nowMs) {
    sent.put(attempt, new Sent(priority, promptTokens, memory, nowMs));
    unreported[priority] += promptTokens;
    unreportedMemory += memory;
  }

  /** Takes note that an attempt has ended. */
  void ended(AttemptId attempt) {
    Sent one = sent.remove(attempt);
    if (one != null) {
      countAsReported(one);
    }
  }

  /** Takes note that an attempt's prompt has been read, so that it is no backlog any more. */
  void promptRead(AttemptId attempt) {
    Sent one = sent.get(attempt);
    if (one != null) {
      countAsReported(one);
    }
  }

  /** Takes an attempt out of what no report contains yet; does nothing when called again. */
  private void countAsReported(Sent one) {
    if (!one.reported) {
      one.reported = true;
      unreported[one.priority] -= one.promptTokens;
      unreportedMemory -= one.memoryTokens;
    }
  }

  /** Takes note of a failure of the endpoint, so that it rests for a while. */
  void failed(long nowMs) {
    failuresInRow++;
    int doublings = Math.min(failuresInRow - 1, MOST_DOUBLINGS);
    avoidUntilMs = nowMs + Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS << doublings);
  }

  /** Takes note of a whole answer, after which the endpoint need not rest. */
  void answered() {
    failuresInRow = 0;
    avoidUntilMs = 0;
  }

  /** Tells whether the endpoint failed so recently that it gets no new work. */
  public boolean avoided(long nowMs) {
    return nowMs < avoidUntilMs;
  }

  /** Tells whether the endpoint wants nothing from this host now, as it asked. */
  public boolean rests(long nowMs) {
    return rests.lasts(endpoint.identity(), nowMs);
  }

  /** Returns the end of the endpoint's rest, which may be over. */
  long restEndMs() {
    return rests.endMs(endpoint.identity());
  }

  /** Returns the engine's reading speed in prompt tokens a second. */
  public long tokensPerSecond() {
    return report == null ? ASSUMED_TOKENS_PER_SECOND : Math.max(1, report.tokensPerSecond());
  }

  /** Returns the prompt tokens that wait at a priority or above it, as well as is known. */
  public long backlogFrom(int priority, long nowMs) {
    long own = 0;
    for (int p = priority; p < unreported.length; p++) {
      own += unreported[p];
    }
    if (report == null) {
      return own;
    }
    long worked = (long) ((nowMs - reportedAtMs) / MS_PER_SECOND * tokensPerSecond());
    return own + Math.max(0, report.backlogFrom(priority) - worked);
  }

  /** Returns the cache memory that is free, as well as is known, in tokens. */
  public long freeTokens() {
    long free = report == null ? endpoint.memoryTokens() : report.freeTokens();
    return free - unreportedMemory;
  }
}
