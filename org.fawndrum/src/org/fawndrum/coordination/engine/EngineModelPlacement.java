// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.fawndrum.coordination.EndpointState;
import org.fawndrum.coordination.PassedOverEndpoint;
import org.fawndrum.coordination.Placement;
import org.fawndrum.coordination.Reason;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.state.EndpointKind;

/**
 * Chooses endpoints by cost: the value that the request itself is expected to lose by its latency,
 * plus the value that other requests on an engine lose because it has more to prefill.
 *
 * <p>The prefill of a long prompt is shared by as many engines as is possible without harm to
 * others. The work is the same, but its first token comes earlier, no engine's streams pause for
 * long, and hosts that choose at the same instant choose the same engines, which then prefill one
 * prompt after the other. Short prompts are packed onto few engines, which leaves the others free
 * for prefill. Confined to one thread.
 */
public final class EngineModelPlacement implements Placement {
  /**
   * Maximum number of engines that can prefill one prompt: the one that decodes and sixteen
   * helpers.
   */
  public static final int MAX_ENGINES = 17;

  /**
   * Minimum remaining prefill time of other shared prompts for which a prompt waits, in
   * milliseconds; about the time that updates and sending take.
   */
  private static final double MIN_WAIT_MS = 30;

  /** Maximum number of passed-over engines shown in a decision. */
  private static final int MAX_PASSED_OVER = 3;

  /** The penalty for a plain endpoint in another zone, in jobs. */
  private static final double OTHER_ZONE_JOBS = 0.5;

  private final PlacementWeights weights;
  private final PlacementCosts costs;
  private final SlotWait slotWait;

  /** Creates the placement policy with its weights. */
  public EngineModelPlacement(PlacementWeights weights) {
    this.weights = weights;
    this.costs = new PlacementCosts(weights);
    this.slotWait = new SlotWait(costs);
  }

  /**
   * The part of the cost of a segment on one engine that does not depend on when it is sent.
   *
   * @param engines the number of engines that share the prefill
   * @param segment the work of the segment
   * @param decodeHarm the value that streams there would lose
   * @param orderCost the cost of the engine's position in the order
   */
  private record SegmentCost(
      EngineCandidate candidate,
      int engines,
      EngineForecast.PrefillWork segment,
      double decodeHarm,
      double orderCost) {}

  /**
   * One engine that could prefill a segment.
   *
   * @param harm the value that others there would lose, including the cost of the order
   * @param firstTokenMs when its segment would be prefilled, in milliseconds
   * @param cost the harm, plus the value that the request would lose if this segment were the last
   */
  private record Option(EngineCandidate candidate, double harm, double firstTokenMs, double cost) {
    EndpointState state() {
      return candidate.state();
    }
  }

  /** The engines chosen for a request, the decoding one first. */
  private record Plan(List<Option> options, double firstTokenMs, double cost) {
    /**
     * Returns how long its engines still prefill segments that were sent before, in milliseconds.
     */
    double sharedMs() {
      return options.stream()
          .mapToDouble(option -> option.candidate().forecast().sharedMs())
          .max()
          .orElse(0);
    }
  }

  /** When a shared prompt is sent; engines prefill the segment that was sent last first. */
  private enum Dispatch {
    /** At once, ahead of the shared prompts that are still in prefill. */
    IMMEDIATE,
    /** After the prefill of those prompts. */
    DEFERRED
  }

  @Override
  public Optional<Choice> choose(Query query) {
    if (query.facts().target().kind() == EndpointKind.PLAIN) {
      return choosePlainEndpoint(query);
    }
    List<EngineCandidate> candidates = candidates(query);
    List<List<SegmentCost>> segmentCosts = segmentCosts(query.facts(), candidates);
    Plan immediate = cheapestPlan(query, segmentCosts, Dispatch.IMMEDIATE);
    if (immediate == null
        || immediate.options().size() > 1 && shouldWait(query, candidates, segmentCosts, immediate)
        || slotWait.shouldWait(query, candidates, immediate.cost())) {
      return Optional.empty();
    }
    return Optional.of(choice(query, candidates, immediate));
  }

  /**
   * Returns whether a shared prompt costs less if it is sent after the earlier segments are
   * prefilled.
   */
  private boolean shouldWait(
      Query query,
      List<EngineCandidate> candidates,
      List<List<SegmentCost>> segmentCosts,
      Plan immediate) {
    if (candidates.stream().noneMatch(candidate -> candidate.forecast().sharedMs() > MIN_WAIT_MS)) {
      return false;
    }
    Plan deferred = cheapestPlan(query, segmentCosts, Dispatch.DEFERRED);
    return deferred != null
        && deferred.cost() < immediate.cost()
        && deferred.sharedMs() > MIN_WAIT_MS;
  }

  /**
   * Returns the segment costs of all eligible engines, by the number of engines that share the
   * prefill.
   */
  private List<List<SegmentCost>> segmentCosts(
      RequestFacts facts, List<EngineCandidate> candidates) {
    int maxEngines = Math.min(maxEngines(facts, candidates), candidates.size());
    List<List<SegmentCost>> segmentCosts = new ArrayList<>(maxEngines);
    for (int engines = 1; engines <= maxEngines; engines++) {
      segmentCosts.add(new ArrayList<>(candidates.size()));
    }
    for (EngineCandidate candidate : candidates) {
      double orderCost = costs.orderCost(facts, candidate);
      for (int engines = 1; engines <= maxEngines; engines++) {
        if (isEligible(facts, candidate, engines)) {
          EngineForecast.PrefillWork segment = candidate.segment(facts.promptTokens(), engines);
          double harm = costs.decodeHarm(candidate.forecast(), segment);
          segmentCosts
              .get(engines - 1)
              .add(new SegmentCost(candidate, engines, segment, harm, orderCost));
        }
      }
    }
    return segmentCosts;
  }

  private static boolean isEligible(RequestFacts facts, EngineCandidate candidate, int engines) {
    boolean hasSlot = engines == 1 ? candidate.canDecode() : candidate.canHelp();
    return hasSlot && candidate.freeTokens() >= EngineCandidate.share(facts.workTokens(), engines);
  }

  /** Returns the plan with the lowest cost; null if no engine can accept the request. */
  private Plan cheapestPlan(Query query, List<List<SegmentCost>> segmentCosts, Dispatch dispatch) {
    Plan best = null;
    for (int engines = 1; engines <= segmentCosts.size(); engines++) {
      Plan plan = plan(query, segmentCosts.get(engines - 1), engines, dispatch);
      if (plan != null && (best == null || plan.cost() < best.cost())) {
        best = plan;
      }
    }
    return best;
  }

  /**
   * Returns the maximum number of engines for a prompt: each prefills at least the tokens of one
   * step.
   */
  private static int maxEngines(RequestFacts facts, List<EngineCandidate> candidates) {
    if (candidates.isEmpty()) {
      return 0;
    }
    int stepTokens = Math.max(1, candidates.get(0).profile().chunkTokens());
    long steps = facts.promptTokens() / stepTokens;
    return (int) Math.max(1, Math.min(MAX_ENGINES, steps));
  }

  private Optional<Choice> choosePlainEndpoint(Query query) {
    return query.candidates().stream()
        .filter(query::usable)
        .min(Comparator.comparingDouble(state -> plainCost(state, query)))
        .map(state -> new Choice(state, Reason.LEAST_IN_FLIGHT, List.of()));
  }

  private double plainCost(EndpointState state, Query query) {
    double otherZone = state.endpoint().zone().equals(query.zone()) ? 0 : OTHER_ZONE_JOBS;
    return state.load().jobCount() + otherZone;
  }

  private List<EngineCandidate> candidates(Query query) {
    List<EngineCandidate> candidates = new ArrayList<>();
    int position = 0;
    for (EndpointState state : query.candidates()) {
      position++;
      if (query.usable(state) && state.endpoint().engine().isPresent()) {
        EngineForecast forecast = state.load().forecast(weights.longTokens(), query.nowMs());
        double orderFraction = position / (double) query.candidates().size();
        double zoneMs = state.endpoint().zone().equals(query.zone()) ? 0 : weights.otherZoneMs();
        candidates.add(
            new EngineCandidate(state, forecast, orderFraction, zoneMs, freeTokens(state)));
      }
    }
    return candidates;
  }

  /** Returns the cheapest plan with a number of engines; null if fewer are eligible. */
  private Plan plan(Query query, List<SegmentCost> segmentCosts, int engines, Dispatch dispatch) {
    if (segmentCosts.size() < engines) {
      return null;
    }
    List<Option> options = new ArrayList<>(segmentCosts.size());
    for (SegmentCost segmentCost : segmentCosts) {
      options.add(option(query, segmentCost, dispatch));
    }
    List<Option> chosen = cheapestOptions(query.facts(), options, engines);
    if (chosen.isEmpty()) {
      return null;
    }
    double latestMs = chosen.stream().mapToDouble(Option::firstTokenMs).max().orElse(0);
    double harm = chosen.stream().mapToDouble(Option::harm).sum();
    double cost = harm + latenessCost(query, latestMs) + weights.engineCost() * (engines - 1);
    return new Plan(chosen, latestMs, cost);
  }

  /** Returns the value that the request loses if its first token comes after a time from now. */
  private double latenessCost(Query query, double firstTokenMs) {
    long waitedMs = query.nowMs() - query.facts().arrivedMs();
    return costs.latenessCost(query.facts(), waitedMs + firstTokenMs);
  }

  /**
   * Returns the cheapest options for a number of engines, the decoding one first; empty if none can
   * decode.
   */
  private List<Option> cheapestOptions(RequestFacts facts, List<Option> options, int engines) {
    Optional<Option> first =
        options.stream()
            .filter(option -> option.candidate().canDecode())
            .min(
                Comparator.comparingDouble(
                    option ->
                        option.cost() + costs.decoderCost(facts, option.candidate(), engines)));
    if (first.isEmpty()) {
      return List.of();
    }
    List<Option> chosen = new ArrayList<>(engines);
    chosen.add(first.get());
    options.stream()
        .filter(option -> option != first.get())
        .sorted(
            Comparator.comparingDouble(
                option -> option.cost() + costs.mixedPrefillCost(option.candidate())))
        .limit(engines - 1)
        .forEach(chosen::add);
    return chosen;
  }

  /** Returns the option of prefilling a segment on its engine, if it is sent at the given time. */
  private Option option(Query query, SegmentCost segmentCost, Dispatch dispatch) {
    EngineCandidate candidate = segmentCost.candidate();
    int engines = segmentCost.engines();
    double firstTokenMs =
        firstTokenMs(candidate.forecast(), segmentCost.segment(), engines, dispatch)
            + candidate.zonePenaltyMs();
    boolean beforeOthers = engines > 1 && dispatch == Dispatch.IMMEDIATE;
    double harm =
        segmentCost.decodeHarm()
            + costs.prefillHarm(
                candidate.forecast(), segmentCost.segment().ms(), engines, beforeOthers)
            + segmentCost.orderCost();
    return new Option(candidate, harm, firstTokenMs, harm + latenessCost(query, firstTokenMs));
  }

  private static double firstTokenMs(
      EngineForecast forecast, EngineForecast.PrefillWork segment, int engines, Dispatch dispatch) {
    if (engines == 1) {
      return forecast.singleEngineMs(segment);
    }
    return dispatch == Dispatch.IMMEDIATE
        ? forecast.sharedMs(segment)
        : forecast.deferredMs(segment);
  }

  private long freeTokens(EndpointState state) {
    long memory = state.endpoint().memoryTokens();
    long margin = (long) (memory * weights.memoryMargin());
    return memory - margin - state.load().memoryTokens();
  }

  private Choice choice(Query query, List<EngineCandidate> candidates, Plan plan) {
    RequestFacts facts = query.facts();
    Option first = plan.options().get(0);
    List<Helper> helpers = new ArrayList<>();
    long workTokens = facts.workTokens();
    boolean fitsOnFirst = first.candidate().freeTokens() >= workTokens;
    long segmentTokens = EngineCandidate.share(workTokens, plan.options().size());
    for (Option option : plan.options().subList(1, plan.options().size())) {
      helpers.add(new Helper(option.state(), fitsOnFirst ? 0 : segmentTokens));
    }
    Reason reason = helpers.isEmpty() ? Reason.EARLIEST_FIRST_TOKEN : Reason.SEVERAL_ENGINES;
    OptionalLong expectedMs = OptionalLong.of(Math.round(plan.firstTokenMs()));
    List<PassedOverEndpoint> passedOver = passedOver(facts, candidates, first);
    return new Choice(first.state(), reason, passedOver, helpers, expectedMs);
  }

  private static List<PassedOverEndpoint> passedOver(
      RequestFacts facts, List<EngineCandidate> candidates, Option best) {
    List<PassedOverEndpoint> passedOver = new ArrayList<>(MAX_PASSED_OVER);
    for (EngineCandidate candidate : candidates) {
      if (passedOver.size() < MAX_PASSED_OVER && candidate != best.candidate()) {
        EngineForecast.PrefillWork prompt = candidate.segment(facts.promptTokens(), 1);
        long firstTokenMs = Math.round(candidate.forecast().singleEngineMs(prompt));
        passedOver.add(new PassedOverEndpoint(candidate.name(), firstTokenMs));
      }
    }
    return List.copyOf(passedOver);
  }
}
