// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.statistics.Statistics;
import org.fawndrum.coordination.EndpointState;
import org.fawndrum.coordination.PassedOverEndpoint;
import org.fawndrum.coordination.Placement;
import org.fawndrum.coordination.Reason;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.RequestTarget;
import org.fawndrum.coordination.TestEndpoints;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.EngineProfile;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.LatencyTargets;

/** Compares the placement with its formula, implemented without any optimization. */
class PlacementFormulaTest {
  private static final PlacementWeights WEIGHTS = PlacementWeights.DEFAULT;
  private static final List<EngineProfile> PROFILES =
      List.of(
          new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075),
          new EngineProfile(4, 90_001, 20, 4, 0.1, 0.02, 30, 0.5, 512, 0.5));
  private static final long[] PROMPTS = {300, 1_000, 5_000, 24_999, 60_001, 120_000, 200_003};
  private static final List<LatencyTargets> TARGETS =
      List.of(
          LatencyTargets.NONE,
          new LatencyTargets(300, 250, 2),
          new LatencyTargets(2_500, 1_000, 2));

  /**
   * Minimum remaining prefill time of earlier segments for which a prompt waits, in milliseconds.
   */
  private static final double MIN_WAIT_MS = 30;

  private long nextId;

  @Property(seed = "31", tries = 3_000)
  void everyChoiceMatchesTheFormula(@ForAll Random random) {
    Placement.Query query = query(random);
    Optional<Placement.Choice> expected = new Formula(query).choice();
    assertEquals(expected, new EngineModelPlacement(WEIGHTS).choose(query));
    Statistics.label("choice")
        .collect(expected.map(choice -> choice.helpers().isEmpty() ? "one" : "several").orElse(""))
        .coverage(
            coverage -> {
              coverage.check("one").percentage(part -> part > 10);
              coverage.check("several").percentage(part -> part > 10);
              coverage.check("").percentage(part -> part > 3);
            });
  }

  private Placement.Query query(Random random) {
    EngineProfile profile = PROFILES.get(random.nextInt(PROFILES.size()));
    long nowMs = 1_000 + random.nextInt(2_000);
    int maxJobs = random.nextInt(12);
    List<EndpointState> states = new ArrayList<>();
    Set<HostIdentity> excluded = new HashSet<>();
    int count = 1 + random.nextInt(20);
    for (int i = 0; i < count; i++) {
      EndpointState state = TestEndpoints.state(engine(i, random.nextInt(4) == 0, profile));
      states.add(state);
      fill(state, random, maxJobs, nowMs);
      if (random.nextInt(15) == 0) {
        excluded.add(state.endpoint().identity());
      }
    }
    LatencyTargets targets = TARGETS.get(random.nextInt(TARGETS.size()));
    long arrivedMs = nowMs - (random.nextBoolean() ? 0 : random.nextInt(3_000));
    RequestFacts facts =
        new RequestFacts(
            "r",
            new CallerGroup("desk", "ask"),
            new RequestTarget(EndpointKind.MODEL, "pool"),
            prompt(random) * (1 + random.nextInt(2)),
            random.nextInt(2_000),
            arrivedMs,
            0,
            true,
            List.of(),
            targets);
    return new Placement.Query(facts, 0, states, excluded, "zone-a", nowMs);
  }

  private static Endpoint engine(int number, boolean elsewhere, EngineProfile profile) {
    return new Endpoint(
        new HostIdentity("engine-" + number, 0),
        elsewhere ? "zone-b" : "zone-a",
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", 9_000 + number),
        Set.of("pool"),
        profile.memoryTokens(),
        Optional.of(profile));
  }

  /** Adds jobs to an engine, some of them prefilled or completed. */
  private void fill(EndpointState state, Random random, int maxJobs, long nowMs) {
    long sentMs = 0;
    int jobs = random.nextInt(1 + maxJobs);
    for (int i = 0; i < jobs; i++) {
      sentMs += random.nextInt((int) (nowMs / jobs) + 1);
      long id = nextId++;
      int segments = random.nextInt(3) == 0 ? 2 + random.nextInt(8) : 1;
      boolean decodes = segments == 1 || random.nextInt(segments) == 0;
      long prompt = prompt(random);
      LatencyTargets targets = TARGETS.get(random.nextInt(TARGETS.size()));
      HostIdentity at = state.endpoint().identity();
      state
          .load()
          .add(
              new EngineJob(id, at, prompt, prompt / segments, segments, decodes, targets, sentMs),
              sentMs);
      if (random.nextInt(3) == 0) {
        state.load().recordFirstToken(id, sentMs + random.nextInt((int) (nowMs - sentMs) + 1));
      }
      if (random.nextInt(8) == 0) {
        state.load().remove(id, nowMs);
      }
    }
  }

  private static long prompt(Random random) {
    return PROMPTS[random.nextInt(PROMPTS.length)];
  }

  /** The formula for one request. */
  private static final class Formula {
    private final PlacementCosts costs = new PlacementCosts(WEIGHTS);
    private final Placement.Query query;
    private final RequestFacts facts;
    private final List<EngineCandidate> candidates = new ArrayList<>();

    /** The engines chosen for the request, the decoding one first. */
    private record Plan(List<EngineCandidate> engines, double firstTokenMs, double cost) {}

    Formula(Placement.Query query) {
      this.query = query;
      this.facts = query.facts();
      int count = query.candidates().size();
      for (int i = 0; i < count; i++) {
        EndpointState state = query.candidates().get(i);
        if (query.usable(state)) {
          EngineForecast forecast = state.load().forecast(WEIGHTS.longTokens(), query.nowMs());
          boolean here = state.endpoint().zone().equals(query.zone());
          long memory = state.endpoint().memoryTokens();
          long margin = (long) (memory * WEIGHTS.memoryMargin());
          long free = memory - margin - state.load().memoryTokens();
          double zoneMs = here ? 0 : WEIGHTS.otherZoneMs();
          candidates.add(
              new EngineCandidate(state, forecast, (i + 1) / (double) count, zoneMs, free));
        }
      }
    }

    Optional<Placement.Choice> choice() {
      Plan immediate = best(true);
      if (immediate == null) {
        return Optional.empty();
      }
      Plan deferred = best(false);
      boolean shouldWait =
          immediate.engines.size() > 1
              && deferred.cost < immediate.cost
              && deferred.engines.stream()
                  .anyMatch(candidate -> candidate.forecast().sharedMs() > MIN_WAIT_MS);
      return shouldWait || waitsForSlot(immediate)
          ? Optional.empty()
          : Optional.of(choice(immediate));
    }

    /** A full engine would cost less by half of the value of an answer in time. */
    private boolean waitsForSlot(Plan plan) {
      double value = WEIGHTS.baseValue() + facts.promptTokens() / WEIGHTS.tokensPerValue();
      double gain = value * WEIGHTS.lateLoss() / 2;
      return candidates.stream()
          .filter(candidate -> !candidate.canDecode())
          .filter(candidate -> candidate.freeTokens() >= facts.workTokens())
          .anyMatch(candidate -> optionCost(candidate, 1, true) < plan.cost - gain);
    }

    private Placement.Choice choice(Plan plan) {
      EngineCandidate first = plan.engines.get(0);
      long segmentTokens = roundedUp(facts.workTokens(), plan.engines.size());
      long helperTokens = first.freeTokens() >= facts.workTokens() ? 0 : segmentTokens;
      List<Placement.Helper> helpers =
          plan.engines.stream()
              .skip(1)
              .map(candidate -> new Placement.Helper(candidate.state(), helperTokens))
              .toList();
      Reason reason = helpers.isEmpty() ? Reason.EARLIEST_FIRST_TOKEN : Reason.SEVERAL_ENGINES;
      return new Placement.Choice(
          first.state(),
          reason,
          candidates.stream()
              .filter(candidate -> candidate != first)
              .limit(3)
              .map(
                  candidate ->
                      new PassedOverEndpoint(
                          candidate.name(), Math.round(singleEngineMs(candidate))))
              .toList(),
          helpers,
          OptionalLong.of(Math.round(plan.firstTokenMs)));
    }

    private double singleEngineMs(EngineCandidate candidate) {
      return candidate.forecast().singleEngineMs(segment(candidate, 1));
    }

    private Plan best(boolean immediate) {
      Plan best = null;
      for (int count = 1; count <= maxEngines(); count++) {
        Plan plan = plan(count, immediate);
        if (plan != null && (best == null || plan.cost < best.cost)) {
          best = plan;
        }
      }
      return best;
    }

    private int maxEngines() {
      if (candidates.isEmpty()) {
        return 0;
      }
      long steps = facts.promptTokens() / candidates.get(0).profile().chunkTokens();
      return (int) Math.max(1, Math.min(Math.min(17, steps), candidates.size()));
    }

    private Plan plan(int count, boolean immediate) {
      List<EngineCandidate> eligible =
          candidates.stream()
              .filter(candidate -> count == 1 ? candidate.canDecode() : candidate.canHelp())
              .filter(candidate -> candidate.freeTokens() >= roundedUp(facts.workTokens(), count))
              .toList();
      EngineCandidate decoder = null;
      for (EngineCandidate candidate : eligible) {
        boolean canDecode = candidate.canDecode();
        if (canDecode
            && (decoder == null
                || decodeOrder(candidate, count, immediate)
                    < decodeOrder(decoder, count, immediate))) {
          decoder = candidate;
        }
      }
      if (decoder == null || eligible.size() < count) {
        return null;
      }
      List<EngineCandidate> chosen = new ArrayList<>(List.of(decoder));
      List<EngineCandidate> others = new ArrayList<>(eligible);
      others.remove(decoder);
      others.sort(
          (a, b) ->
              Double.compare(prefillOrder(a, count, immediate), prefillOrder(b, count, immediate)));
      chosen.addAll(others.subList(0, count - 1));
      double latestMs =
          chosen.stream()
              .mapToDouble(candidate -> firstTokenMs(candidate, count, immediate))
              .max()
              .orElse(0);
      double harm =
          chosen.stream().mapToDouble(candidate -> harm(candidate, count, immediate)).sum();
      return new Plan(
          chosen, latestMs, harm + lateness(latestMs) + WEIGHTS.engineCost() * (count - 1));
    }

    private double decodeOrder(EngineCandidate candidate, int count, boolean immediate) {
      return optionCost(candidate, count, immediate) + costs.decoderCost(facts, candidate, count);
    }

    private double prefillOrder(EngineCandidate candidate, int count, boolean immediate) {
      return optionCost(candidate, count, immediate) + costs.mixedPrefillCost(candidate);
    }

    private double optionCost(EngineCandidate candidate, int count, boolean immediate) {
      return harm(candidate, count, immediate)
          + lateness(firstTokenMs(candidate, count, immediate));
    }

    private double lateness(double firstTokenMs) {
      return costs.latenessCost(facts, query.nowMs() - facts.arrivedMs() + firstTokenMs);
    }

    private double harm(EngineCandidate candidate, int count, boolean immediate) {
      EngineForecast.PrefillWork segment = segment(candidate, count);
      boolean beforeOthers = count > 1 && immediate;
      return costs.decodeHarm(candidate.forecast(), segment)
          + costs.prefillHarm(candidate.forecast(), segment.ms(), count, beforeOthers)
          + costs.orderCost(facts, candidate);
    }

    private double firstTokenMs(EngineCandidate candidate, int count, boolean immediate) {
      EngineForecast.PrefillWork segment = segment(candidate, count);
      double sharedMs =
          immediate
              ? candidate.forecast().sharedMs(segment)
              : candidate.forecast().deferredMs(segment);
      return (count == 1 ? candidate.forecast().singleEngineMs(segment) : sharedMs)
          + candidate.zonePenaltyMs();
    }

    private EngineForecast.PrefillWork segment(EngineCandidate candidate, int count) {
      double ms =
          candidate.profile().prefillMs(facts.promptTokens())
              / count
              * candidate.forecast().slowness();
      return new EngineForecast.PrefillWork(ms, roundedUp(facts.promptTokens(), count));
    }

    private static long roundedUp(long tokens, int count) {
      return tokens / count + (tokens % count == 0 ? 0 : 1);
    }
  }
}
