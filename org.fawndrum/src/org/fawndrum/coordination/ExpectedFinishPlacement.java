// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fawndrum.state.EndpointKind;

/**
 * The endpoint with the earliest expected first token, from its lagging load report and what this
 * host sent since. A cached prefix counts as work saved, so affinity gives way by itself when it
 * would make a queue. Model requests wait here rather than in an engine's queue when every engine
 * has work for longer than the horizon, so that the order between caller groups is kept here.
 * Confined to one thread.
 */
public final class ExpectedFinishPlacement implements Placement {
  /** Tokens of one block of a prompt that prefixes are counted in. */
  public static final long BLOCK_TOKENS = 256;

  private static final int SHOWN = 3;
  private static final int SAMPLE = 48;
  private static final double MS_PER_SECOND = 1000.0;

  private final Settings settings;
  private int next;

  /**
   * The weights of this policy.
   *
   * @param horizonMs the longest backlog at its priority that a request joins, in milliseconds
   * @param otherZoneMs what an endpoint in another zone must be faster by, in milliseconds
   * @param shortReserve part of an engine's memory that long prompts leave free, 0 to 1
   * @param longTokens the prompt length from which the reserve applies
   */
  public record Settings(long horizonMs, long otherZoneMs, double shortReserve, long longTokens) {
    /** Weights that suit a mix of short and long prompts. */
    public static final Settings DEFAULT = new Settings(250, 5, 0.1, 32_768);
  }

  /** Makes the policy with its weights. */
  public ExpectedFinishPlacement(Settings settings) {
    this.settings = settings;
  }

  @Override
  public Optional<Choice> choose(Query query) {
    List<EndpointState> candidates = query.candidates();
    boolean model = query.facts().target().kind() == EndpointKind.MODEL;
    int look = Math.min(candidates.size(), SAMPLE);
    int start = next;
    // A large fleet is looked at in windows that move on, so that a decision's cost stays bounded.
    next = candidates.isEmpty() ? 0 : (next + look) % candidates.size();
    EndpointState best = null;
    long bestMs = Long.MAX_VALUE;
    for (int i = 0; i < look; i++) {
      EndpointState state = candidates.get((start + i) % candidates.size());
      if (!query.usable(state) || model && !hasMemory(state, query)) {
        continue;
      }
      long backlogMs = model ? backlogMs(state, query) : 0;
      if (backlogMs > settings.horizonMs()) {
        continue;
      }
      long expectedMs = model ? backlogMs + readMs(state, query) : plainMs(state, query);
      if (expectedMs < bestMs) {
        best = state;
        bestMs = expectedMs;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    boolean cached = model && best.prefixes().match(query.facts().prefixes()) > 0;
    Reason reason = cached ? Reason.CACHED_PREFIX : Reason.EARLIEST_FIRST_TOKEN;
    return Optional.of(new Choice(best, reason, passedOver(query, best, start, look, model)));
  }

  private boolean hasMemory(EndpointState state, Query query) {
    RequestFacts facts = query.facts();
    long kept =
        facts.promptTokens() >= settings.longTokens()
            ? (long) (settings.shortReserve() * state.endpoint().memoryTokens())
            : 0;
    return state.freeTokens() - kept >= facts.workTokens();
  }

  private static long backlogMs(EndpointState state, Query query) {
    long backlog = state.backlogFrom(query.priority(), query.nowMs());
    return (long) (backlog * MS_PER_SECOND / state.tokensPerSecond());
  }

  private long readMs(EndpointState state, Query query) {
    long cached = state.prefixes().match(query.facts().prefixes()) * BLOCK_TOKENS;
    long toRead = Math.max(1, query.facts().promptTokens() - cached);
    return (long) (toRead * MS_PER_SECOND / state.tokensPerSecond()) + zoneMs(state, query);
  }

  private long plainMs(EndpointState state, Query query) {
    return state.inFlight() + zoneMs(state, query);
  }

  private long zoneMs(EndpointState state, Query query) {
    return state.endpoint().zone().equals(query.zone()) ? 0 : settings.otherZoneMs();
  }

  private List<PassedOver> passedOver(
      Query query, EndpointState best, int start, int look, boolean model) {
    List<PassedOver> shown = new ArrayList<>(SHOWN);
    for (int i = 0; i < look && shown.size() < SHOWN; i++) {
      EndpointState state = query.candidates().get((start + i) % query.candidates().size());
      if (state != best) {
        long expectedMs =
            model ? backlogMs(state, query) + readMs(state, query) : plainMs(state, query);
        shown.add(new PassedOver(state.endpoint().name(), expectedMs));
      }
    }
    return List.copyOf(shown);
  }
}
