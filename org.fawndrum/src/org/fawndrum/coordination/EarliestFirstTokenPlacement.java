// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fawndrum.state.EndpointKind;

/**
 * Chooses the endpoint with the earliest expected first token, from its last load report and what
 * this host sent since. A cached prefix reduces the expected prefill time, so cache affinity yields
 * when it would cause queueing. Model requests wait on this host, not in an engine's queue, when
 * the backlog of every engine exceeds the horizon, so that this host controls the order between
 * caller groups. Confined to one thread.
 */
public final class EarliestFirstTokenPlacement implements Placement {
  /** Size of the prompt blocks that prefix hashes cover, in tokens. */
  public static final long BLOCK_TOKENS = 256;

  private static final int MAX_PASSED_OVER = 3;
  private static final int MAX_SAMPLE = 48;
  private static final double MS_PER_SECOND = 1000.0;

  private final Settings settings;
  private int nextStart;

  /**
   * Parameters of the placement.
   *
   * @param horizonMs the maximum backlog of an engine, at the request's priority, at which it is
   *     still used, in milliseconds
   * @param otherZoneMs the penalty of an endpoint in another zone, in milliseconds
   * @param shortReserve the fraction of an engine's memory that long prompts leave free, 0 to 1
   * @param longTokens the prompt length from which the reserve applies, in tokens
   */
  public record Settings(long horizonMs, long otherZoneMs, double shortReserve, long longTokens) {
    /** Parameters for a mix of short and long prompts. */
    public static final Settings DEFAULT = new Settings(250, 5, 0.1, 32_768);
  }

  /** Creates the placement. */
  public EarliestFirstTokenPlacement(Settings settings) {
    this.settings = settings;
  }

  @Override
  public Optional<Choice> choose(Query query) {
    List<EndpointState> candidates = query.candidates();
    boolean model = query.facts().target().kind() == EndpointKind.MODEL;
    int sampled = Math.min(candidates.size(), MAX_SAMPLE);
    int start = nextStart;
    // Examines a large fleet in rotating windows to bound the cost of one decision.
    nextStart = candidates.isEmpty() ? 0 : (nextStart + sampled) % candidates.size();
    EndpointState best = null;
    long bestMs = Long.MAX_VALUE;
    for (int i = 0; i < sampled; i++) {
      EndpointState state = candidates.get((start + i) % candidates.size());
      if (!query.usable(state) || model && !hasMemory(state, query)) {
        continue;
      }
      long backlogMs = model ? backlogMs(state, query) : 0;
      if (backlogMs > settings.horizonMs()) {
        continue;
      }
      long expectedMs = model ? backlogMs + prefillMs(state, query) : plainMs(state, query);
      if (expectedMs < bestMs) {
        best = state;
        bestMs = expectedMs;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    boolean cached = model && best.prefixes().matchingBlocks(query.facts().prefixes()) > 0;
    Reason reason = cached ? Reason.CACHED_PREFIX : Reason.EARLIEST_FIRST_TOKEN;
    return Optional.of(new Choice(best, reason, passedOver(query, best, start, sampled, model)));
  }

  private boolean hasMemory(EndpointState state, Query query) {
    RequestFacts facts = query.facts();
    long reserved =
        facts.promptTokens() >= settings.longTokens()
            ? (long) (settings.shortReserve() * state.endpoint().memoryTokens())
            : 0;
    return state.freeTokens() - reserved >= facts.workTokens();
  }

  private static long backlogMs(EndpointState state, Query query) {
    long backlog = state.backlogFrom(query.priority(), query.nowMs());
    return (long) (backlog * MS_PER_SECOND / state.tokensPerSecond());
  }

  private long prefillMs(EndpointState state, Query query) {
    long cached = state.prefixes().matchingBlocks(query.facts().prefixes()) * BLOCK_TOKENS;
    long tokensToPrefill = Math.max(1, query.facts().promptTokens() - cached);
    return (long) (tokensToPrefill * MS_PER_SECOND / state.tokensPerSecond())
        + zoneMs(state, query);
  }

  private long plainMs(EndpointState state, Query query) {
    return state.inFlight() + zoneMs(state, query);
  }

  private long zoneMs(EndpointState state, Query query) {
    return state.endpoint().zone().equals(query.zone()) ? 0 : settings.otherZoneMs();
  }

  private List<PassedOverEndpoint> passedOver(
      Query query, EndpointState best, int start, int sampled, boolean model) {
    List<PassedOverEndpoint> passedOver = new ArrayList<>(MAX_PASSED_OVER);
    for (int i = 0; i < sampled && passedOver.size() < MAX_PASSED_OVER; i++) {
      EndpointState state = query.candidates().get((start + i) % query.candidates().size());
      if (state != best) {
        long expectedMs =
            model ? backlogMs(state, query) + prefillMs(state, query) : plainMs(state, query);
        passedOver.add(new PassedOverEndpoint(state.endpoint().name(), expectedMs));
      }
    }
    return List.copyOf(passedOver);
  }
}
