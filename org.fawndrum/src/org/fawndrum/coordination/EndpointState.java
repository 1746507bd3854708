// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.HashMap;
import java.util.Map;
import org.fawndrum.coordination.engine.EngineLoad;
import org.fawndrum.coordination.engine.EngineModelPlacement;
import org.fawndrum.coordination.limit.EndpointPermits;
import org.fawndrum.state.Endpoint;

/**
 * This host's view of one endpoint incarnation: its last load report, and the attempts of this host
 * that the report cannot include yet. Confined to one thread.
 */
public final class EndpointState {
  /** Assumed speed of an engine before its first report, in prompt tokens per second. */
  public static final long ASSUMED_TOKENS_PER_SECOND = 20_000;

  /**
   * Backoff after the first failure of an endpoint, in milliseconds; doubled with each further one.
   */
  private static final long FIRST_BACKOFF_MS = 500;

  private static final int MAX_DOUBLINGS = 4;
  private static final long MAX_BACKOFF_MS = 8_000;

  /** How long an endpoint's own report takes precedence over peers' reports, in milliseconds. */
  private static final long OWN_REPORT_PRECEDENCE_MS = 1_000;

  private static final double MS_PER_SECOND = 1000.0;

  private final RequestedBackoffs requestedBackoffs;
  private final EndpointPermits permits;
  private Endpoint endpoint;
  private LoadReport report;
  private long reportedAtMs;
  private final Map<AttemptId, SentAttempt> sentAttempts = new HashMap<>();
  private final long[] unreportedTokens = new long[LoadReport.PRIORITIES];
  private long unreportedMemory;
  private final CachedPrefixes prefixes;
  private int consecutiveFailures;
  private long failureBackoffEndMs;
  private EngineLoad load;

  /** The load that one attempt adds to the endpoint. */
  private static final class SentAttempt {
    final int priority;
    final long promptTokens;
    final long memoryTokens;
    final long sentAtMs;
    boolean reported;

    SentAttempt(int priority, long promptTokens, long memoryTokens, long sentAtMs) {
      this.priority = priority;
      this.promptTokens = promptTokens;
      this.memoryTokens = memoryTokens;
      this.sentAtMs = sentAtMs;
    }
  }

  EndpointState(
      Endpoint endpoint,
      int engines,
      RequestedBackoffs requestedBackoffs,
      EndpointPermits permits) {
    this.endpoint = endpoint;
    this.requestedBackoffs = requestedBackoffs;
    this.permits = permits;
    this.prefixes = new CachedPrefixes(engines);
    this.load = new EngineLoad(endpoint.engine().orElse(null));
  }

  /** Returns the endpoint. */
  public Endpoint endpoint() {
    return endpoint;
  }

  /** Updates the endpoint's description. A changed engine profile resets the load. */
  void updateDescription(Endpoint newer) {
    boolean sameEngine = newer.engine().equals(endpoint.engine());
    endpoint = newer;
    if (!sameEngine) {
      load = new EngineLoad(newer.engine().orElse(null));
    }
  }

  /** Returns the number of this host's attempts in flight at the endpoint. */
  public int inFlight() {
    return sentAttempts.size();
  }

  /** Returns the known work of all daemons at the endpoint. */
  public EngineLoad load() {
    return load;
  }

  /**
   * Returns the minimum time to prefill a prompt, in milliseconds, with helper engines where the
   * endpoint has an engine profile.
   */
  long minPrefillMs(long promptTokens) {
    return endpoint
        .engine()
        .map(profile -> (long) (profile.prefillMs(promptTokens) / EngineModelPlacement.MAX_ENGINES))
        .orElseGet(() -> (long) (promptTokens * MS_PER_SECOND / tokensPerSecond()));
  }

  /** Returns the estimated contents of the endpoint's prefix cache. */
  CachedPrefixes prefixes() {
    return prefixes;
  }

  /** Applies a load report of the endpoint unless a newer one is known. */
  void loadReported(LoadReport newer, long nowMs) {
    if (report == null || newer.sequence() > report.sequence()) {
      applyReport(newer, nowMs);
    }
  }

  /** Applies a load reported by a peer, unless the endpoint itself reported recently. */
  void peerLoadReported(LoadReport load, long nowMs) {
    if (report != null && nowMs - reportedAtMs < OWN_REPORT_PRECEDENCE_MS) {
      return;
    }
    long sequence = report == null ? 0 : report.sequence();
    long speed = Math.max(load.tokensPerSecond(), 1);
    applyReport(
        new LoadReport(sequence, load.backlogTokens(), load.freeTokens(), load.streams(), speed),
        nowMs);
  }

  private void applyReport(LoadReport newer, long nowMs) {
    long coversUntilMs = reportedAtMs;
    report = newer;
    reportedAtMs = nowMs;
    for (SentAttempt sentAttempt : sentAttempts.values()) {
      // A report may predate the arrival of attempts sent since the report before it.
      if (sentAttempt.sentAtMs <= coversUntilMs) {
        countAsReported(sentAttempt);
      }
    }
  }

  /** Adds an attempt that is being sent. */
  void attemptSent(AttemptId attempt, int priority, long promptTokens, long memory, long nowMs) {
    sentAttempts.put(attempt, new SentAttempt(priority, promptTokens, memory, nowMs));
    unreportedTokens[priority] += promptTokens;
    unreportedMemory += memory;
  }

  /** Removes an attempt that has completed or failed. */
  void attemptEnded(AttemptId attempt) {
    SentAttempt sentAttempt = sentAttempts.remove(attempt);
    if (sentAttempt != null) {
      countAsReported(sentAttempt);
    }
  }

  /** Removes an attempt's prompt from the backlog once it is prefilled. */
  void promptPrefilled(AttemptId attempt) {
    SentAttempt sentAttempt = sentAttempts.get(attempt);
    if (sentAttempt != null) {
      countAsReported(sentAttempt);
    }
  }

  /** Removes an attempt from the load missing in reports. Idempotent. */
  private void countAsReported(SentAttempt sentAttempt) {
    if (!sentAttempt.reported) {
      sentAttempt.reported = true;
      unreportedTokens[sentAttempt.priority] -= sentAttempt.promptTokens;
      unreportedMemory -= sentAttempt.memoryTokens;
    }
  }

  /** Records a failure of the endpoint and starts its failure backoff. */
  void recordFailure(long nowMs) {
    consecutiveFailures++;
    int doublings = Math.min(consecutiveFailures - 1, MAX_DOUBLINGS);
    failureBackoffEndMs = nowMs + Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << doublings);
  }

  /** Records a whole answer, which resets the failure backoff. */
  void recordSuccess() {
    consecutiveFailures = 0;
    failureBackoffEndMs = 0;
  }

  /** Whether the endpoint failed so recently that it receives no new work. */
  public boolean inFailureBackoff(long nowMs) {
    return nowMs < failureBackoffEndMs;
  }

  /** Whether the endpoint asked this host to send nothing now. */
  public boolean inRequestedBackoff(long nowMs) {
    return requestedBackoffs.isActive(endpoint.identity(), nowMs);
  }

  /** Whether this host needs a permit to send a request to the endpoint, and has none. */
  public boolean lacksPermit(long nowMs) {
    return permits.isLacking(endpoint.name(), nowMs);
  }

  /** Returns the end of the backoff requested by the endpoint, which may have passed. */
  long requestedBackoffEndMs() {
    return requestedBackoffs.endMs(endpoint.identity());
  }

  /** Returns the engine's prefill speed in prompt tokens per second. */
  public long tokensPerSecond() {
    return report == null ? ASSUMED_TOKENS_PER_SECOND : Math.max(1, report.tokensPerSecond());
  }

  /** Returns the estimated number of waiting prompt tokens at a priority or above it. */
  public long backlogFrom(int priority, long nowMs) {
    long unreportedBacklog = 0;
    for (int p = priority; p < unreportedTokens.length; p++) {
      unreportedBacklog += unreportedTokens[p];
    }
    if (report == null) {
      return unreportedBacklog;
    }
    long worked = (long) ((nowMs - reportedAtMs) / MS_PER_SECOND * tokensPerSecond());
    return unreportedBacklog + Math.max(0, report.backlogFrom(priority) - worked);
  }

  /** Returns the estimated free cache memory, in tokens. */
  public long freeTokens() {
    long free = report == null ? endpoint.memoryTokens() : report.freeTokens();
    return free - unreportedMemory;
  }
}
