// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
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
   * What one engine would read if so many took part; the same whenever that is sent.
   *
   * @param harmToWriting what answers there would lose, in value
   * @param ofOrder what the engine's place in the order costs, in value
   */
  private record Share(
      EngineCandidate candidate,
      int engines,
      EngineOutlook.Amount part,
      double harmToWriting,
      double ofOrder) {}

  /**
   * One engine that could read a part.
   *
   * @param harm what others there would lose, in value, the order among equals included
   * @param firstTokenMs when its part would be read, in milliseconds
   * @param cost the harm, and what the request would lose if this part were read last, in value
   */
  private record Option(EngineCandidate candidate, double harm, double firstTokenMs, double cost) {
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
    List<List<Share>> shares = shares(query.facts(), candidates);
    Plan now = best(query, shares, Turn.BEFORE_OTHERS);
    if (now == null || now.options().size() > 1 && shouldWait(query, candidates, shares, now)) {
      return Optional.empty();
    }
    return Optional.of(choice(query, candidates, now));
  }

  /** Tells whether a plan of several engines costs less when those have read what they have. */
  private boolean shouldWait(
      Query query, List<EngineCandidate> candidates, List<List<Share>> shares, Plan now) {
    if (candidates.stream().noneMatch(one -> one.outlook().sharedMs() > SOON_MS)) {
      return false;
    }
    Plan later = best(query, shares, Turn.AFTER_OTHERS);
    return later != null && later.cost() < now.cost() && later.waitMs() > SOON_MS;
  }

  /** Returns what each engine that can take part would read, for one engine, for two and so on. */
  private List<List<Share>> shares(RequestFacts facts, List<EngineCandidate> candidates) {
    int most = Math.min(mostEngines(facts, candidates), candidates.size());
    List<List<Share>> shares = new ArrayList<>(most);
    for (int engines = 1; engines <= most; engines++) {
      shares.add(new ArrayList<>(candidates.size()));
    }
    for (EngineCandidate candidate : candidates) {
      double ofOrder = costs.ofOrder(facts, candidate);
      for (int engines = 1; engines <= most; engines++) {
        if (canTake(facts, candidate, engines)) {
          EngineOutlook.Amount part = candidate.partOf(facts.promptTokens(), engines);
          double harm = costs.harmToWriting(candidate.outlook(), part);
          shares.get(engines - 1).add(new Share(candidate, engines, part, harm, ofOrder));
        }
      }
    }
    return shares;
  }

  private static boolean canTake(RequestFacts facts, EngineCandidate candidate, int engines) {
    boolean able = engines == 1 ? candidate.canWrite() : candidate.canHelp();
    return able && candidate.freeTokens() >= EngineCandidate.share(facts.workTokens(), engines);
  }

  /** Returns the plan that costs least; null when no engine can take the request. */
  private Plan best(Query query, List<List<Share>> shares, Turn turn) {
    Plan best = null;
    for (int engines = 1; engines <= shares.size(); engines++) {
      Plan plan = plan(query, shares.get(engines - 1), engines, turn);
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
  private Plan plan(Query query, List<Share> shares, int engines, Turn turn) {
    if (shares.size() < engines) {
      return null;
    }
    List<Option> options = new ArrayList<>(shares.size());
    for (Share share : shares) {
      options.add(option(query, share, turn));
    }
    List<Option> chosen = cheapest(query.facts(), options, engines);
    if (chosen.isEmpty()) {
      return null;
    }
    double latest = chosen.stream().mapToDouble(Option::firstTokenMs).max().orElse(0);
    double harm = chosen.stream().mapToDouble(Option::harm).sum();
    double cost = harm + lateness(query, latest) + weights.perEngine() * (engines - 1);
    return new Plan(chosen, latest, cost);
  }

  /** Returns what the request loses whose first token comes after a time from now, in value. */
  private double lateness(Query query, double firstTokenMs) {
    long waitedMs = query.nowMs() - query.facts().arrivedMs();
    return costs.lateness(query.facts(), waitedMs + firstTokenMs);
  }

  /** Returns so many of the options, the one that writes the answer first; none if none can. */
  private List<Option> cheapest(RequestFacts facts, List<Option> options, int engines) {
    Optional<Option> first =
        options.stream()
            .filter(option -> option.candidate().canWrite())
            .min(
                Comparator.comparingDouble(
                    option -> option.cost() + costs.ofWriting(facts, option.candidate(), engines)));
    if (first.isEmpty()) {
      return List.of();
    }
    List<Option> chosen = new ArrayList<>(engines);
    chosen.add(first.get());
    options.stream()
        .filter(option -> option != first.get())
        .sorted(
            Comparator.comparingDouble(
                option -> option.cost() + costs.ofReadingBeside(option.candidate())))
        .limit(engines - 1)
        .forEach(chosen::add);
    return chosen;
  }

  /** Returns what it costs that an engine takes its share at its turn. */
  private Option option(Query query, Share share, Turn turn) {
    EngineCandidate candidate = share.candidate();
    int engines = share.engines();
    double firstMs =
        firstTokenMs(candidate.outlook(), share.part(), engines, turn) + candidate.zoneMs();
    boolean before = engines > 1 && turn == Turn.BEFORE_OTHERS;
    double harm =
        share.harmToWriting()
            + costs.harmToUnread(candidate.outlook(), share.part().ms(), engines, before)
            + share.ofOrder();
    return new Option(candidate, harm, firstMs, harm + lateness(query, firstMs));
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
