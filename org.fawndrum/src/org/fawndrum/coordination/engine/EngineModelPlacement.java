// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.ToDoubleFunction;
import org.fawndrum.coordination.EndpointState;
import org.fawndrum.coordination.PassedOver;
import org.fawndrum.coordination.Placement;
import org.fawndrum.coordination.Reason;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.state.EndpointKind;

/**
 * Places by what a choice costs: the value that the request itself is expected to lose by coming
 * late, and the value that others on an engine lose because it has more to read. A long prompt is
 * read by as many engines as it does no harm on: the work is the same, but its first token comes
 * sooner, no engine's answers stand still for long, and hosts that choose at the same moment choose
 * the same engines, which then read one prompt after the other. Short prompts are packed on few
 * engines, so that the others stay free to read. Confined to one thread.
 */
public final class EngineModelPlacement implements Placement {
  /** The most engines that can read one prompt: the one that writes and sixteen others. */
  public static final int MOST_ENGINES = 17;

  /**
   * A prompt does not wait for others that will have been read in this time, in milliseconds: about
   * what news and the sending take.
   */
  private static final double SOON_MS = 30;

  /** How many passed-over engines a decision shows. */
  private static final int SHOWN = 3;

  /** What a plain endpoint in another zone costs, in pieces of work. */
  private static final double OTHER_ZONE_WORK = 0.5;

  private final PlacementWeights weights;
  private final PlacementCosts costs;

  /** Makes the policy with its weights. */
  public EngineModelPlacement(PlacementWeights weights) {
    this.weights = weights;
    this.costs = new PlacementCosts(weights);
  }

  /**
   * One engine that could read a part.
   *
   * @param harm what others there would lose, in value, the order among equals included
   * @param firstTokenMs when its part would be read, in milliseconds
   */
  private record Option(EngineCandidate candidate, double harm, double firstTokenMs) {
    EndpointState state() {
      return candidate.state();
    }
  }

  /** Engines that together would take a request, the writing one first. */
  private record Plan(List<Option> options, double firstTokenMs, double cost) {
    /** Returns for how long its engines still read parts that were sent before, in milliseconds. */
    double waitMs() {
      return options.stream()
          .mapToDouble(option -> option.candidate().outlook().sharedMs())
          .max()
          .orElse(0);
    }
  }

  /** When a prompt on several engines is sent: engines read what was sent last first. */
  private enum Turn {
    /** At once, so that it goes before those that are still being read. */
    BEFORE_OTHERS,
    /** When those have been read. */
    AFTER_OTHERS
  }

  @Override
  public Optional<Choice> choose(Query query) {
    if (query.facts().target().kind() == EndpointKind.PLAIN) {
      return plain(query);
    }
    List<EngineCandidate> candidates = candidates(query);
    Plan now = best(query, candidates, Turn.BEFORE_OTHERS);
    if (now == null) {
      return Optional.empty();
    }
    if (now.options().size() > 1) {
      Plan later = best(query, candidates, Turn.AFTER_OTHERS);
      if (later != null && later.cost() < now.cost() && later.waitMs() > SOON_MS) {
        return Optional.empty();
      }
    }
    return Optional.of(choice(query, candidates, now));
  }

  /** Returns the plan that costs least; null when no engine can take the request. */
  private Plan best(Query query, List<EngineCandidate> candidates, Turn turn) {
    int most = Math.min(mostEngines(query.facts(), candidates), candidates.size());
    Plan best = null;
    for (int engines = 1; engines <= most; engines++) {
      Plan plan = plan(query, candidates, engines, turn);
      if (plan != null && (best == null || plan.cost() < best.cost())) {
        best = plan;
      }
    }
    return best;
  }

  /** Returns how many engines could read a prompt: each reads the tokens of a step or more. */
  private static int mostEngines(RequestFacts facts, List<EngineCandidate> candidates) {
    if (candidates.isEmpty()) {
      return 0;
    }
    int stepTokens = Math.max(1, candidates.get(0).profile().chunkTokens());
    long steps = facts.promptTokens() / stepTokens;
    return (int) Math.max(1, Math.min(MOST_ENGINES, steps));
  }

  private Optional<Choice> plain(Query query) {
    return query.candidates().stream()
        .filter(query::usable)
        .min(Comparator.comparingDouble(state -> plainCost(state, query)))
        .map(state -> new Choice(state, Reason.LEAST_IN_FLIGHT, List.of()));
  }

  private double plainCost(EndpointState state, Query query) {
    double otherZone = state.endpoint().zone().equals(query.zone()) ? 0 : OTHER_ZONE_WORK;
    return state.load().size() + otherZone;
  }

  private List<EngineCandidate> candidates(Query query) {
    List<EngineCandidate> candidates = new ArrayList<>();
    int place = 0;
    for (EndpointState state : query.candidates()) {
      place++;
      if (query.usable(state) && state.endpoint().engine().isPresent()) {
        EngineOutlook outlook = state.load().outlook(weights.longTokens(), query.nowMs());
        double part = place / (double) query.candidates().size();
        double zoneMs = state.endpoint().zone().equals(query.zone()) ? 0 : weights.otherZoneMs();
        candidates.add(new EngineCandidate(state, outlook, part, zoneMs, freeTokens(state)));
      }
    }
    return candidates;
  }

  /** Returns the best plan of so many engines, or null when fewer can take part. */
  private Plan plan(Query query, List<EngineCandidate> candidates, int engines, Turn turn) {
    RequestFacts facts = query.facts();
    long waitedMs = query.nowMs() - facts.arrivedMs();
    List<Option> options = new ArrayList<>();
    for (EngineCandidate candidate : candidates) {
      Option option = option(facts, candidate, engines, turn);
      if (option != null) {
        options.add(option);
      }
    }
    if (options.size() < engines) {
      return null;
    }
    List<Option> chosen = cheapest(query, options, engines);
    if (chosen.isEmpty()) {
      return null;
    }
    double latest = chosen.stream().mapToDouble(Option::firstTokenMs).max().orElse(0);
    double harm = chosen.stream().mapToDouble(Option::harm).sum();
    double cost =
        harm + costs.lateness(facts, waitedMs + latest) + weights.perEngine() * (engines - 1);
    return new Plan(chosen, latest, cost);
  }

  /** Returns so many of the options, the one that writes the answer first; none if none can. */
  private List<Option> cheapest(Query query, List<Option> options, int engines) {
    RequestFacts facts = query.facts();
    long waitedMs = query.nowMs() - facts.arrivedMs();
    ToDoubleFunction<Option> cost =
        option -> option.harm() + costs.lateness(facts, waitedMs + option.firstTokenMs());
    Optional<Option> first =
        options.stream()
            .filter(option -> option.candidate().canWrite())
            .min(
                Comparator.comparingDouble(
                    option ->
                        cost.applyAsDouble(option)
                            + costs.ofWriting(facts, option.candidate(), engines)));
    if (first.isEmpty()) {
      return List.of();
    }
    List<Option> chosen = new ArrayList<>(engines);
    chosen.add(first.get());
    options.stream()
        .filter(option -> option != first.get())
        .sorted(
            Comparator.comparingDouble(
                option -> cost.applyAsDouble(option) + costs.ofReadingBeside(option.candidate())))
        .limit(engines - 1)
        .forEach(chosen::add);
    return chosen;
  }

  /** Returns the option of one engine, or null when it cannot take its part. */
  private Option option(RequestFacts facts, EngineCandidate candidate, int engines, Turn turn) {
    boolean able = engines == 1 ? candidate.canWrite() : candidate.canHelp();
    if (!able || candidate.freeTokens() < EngineCandidate.share(facts.workTokens(), engines)) {
      return null;
    }
    EngineOutlook outlook = candidate.outlook();
    EngineOutlook.Amount part = candidate.partOf(facts.promptTokens(), engines);
    double firstMs = firstTokenMs(outlook, part, engines, turn) + candidate.zoneMs();
    boolean before = engines > 1 && turn == Turn.BEFORE_OTHERS;
    double harm =
        costs.harmToWriting(outlook, part)
            + costs.harmToUnread(outlook, part.ms(), engines, before)
            + costs.ofOrder(facts, candidate);
    return new Option(candidate, harm, firstMs);
  }

  private static double firstTokenMs(
      EngineOutlook outlook, EngineOutlook.Amount part, int engines, Turn turn) {
    if (engines == 1) {
      return outlook.aloneMs(part);
    }
    return turn == Turn.BEFORE_OTHERS ? outlook.sharedMs(part) : outlook.afterOthersMs(part);
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
    long need = facts.workTokens();
    boolean alone = first.candidate().freeTokens() >= need;
    long share = EngineCandidate.share(need, plan.options().size());
    for (Option option : plan.options().subList(1, plan.options().size())) {
      helpers.add(new Helper(option.state(), alone ? 0 : share));
    }
    Reason reason = helpers.isEmpty() ? Reason.EARLIEST_FIRST_TOKEN : Reason.SEVERAL_ENGINES;
    OptionalLong expectedMs = OptionalLong.of(Math.round(plan.firstTokenMs()));
    List<PassedOver> passedOver = passedOver(facts, candidates, first);
    return new Choice(first.state(), reason, passedOver, helpers, expectedMs);
  }

  private static List<PassedOver> passedOver(
      RequestFacts facts, List<EngineCandidate> candidates, Option best) {
    List<PassedOver> shown = new ArrayList<>(SHOWN);
    for (EngineCandidate candidate : candidates) {
      if (shown.size() < SHOWN && candidate != best.candidate()) {
        EngineOutlook.Amount prompt = candidate.partOf(facts.promptTokens(), 1);
        long firstMs = Math.round(candidate.outlook().aloneMs(prompt));
        shown.add(new PassedOver(candidate.name(), firstMs));
      }
    }
    return List.copyOf(shown);
  }
}
