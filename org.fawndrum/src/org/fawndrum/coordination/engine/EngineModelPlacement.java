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
import org.fawndrum.state.EngineProfile;

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

  /** The aim of a request whose route names none, in milliseconds. */
  private static final long AIM_IF_NONE_MS = 1_000;

  /** After how many aims a caller that has heard nothing leaves. */
  private static final double PATIENCE_AIMS = 4;

  private final Settings settings;

  /**
   * The weights of this policy.
   *
   * @param lateLoss the part of its value that a late answer loses
   * @param baseValue value of a request whatever its length
   * @param tokensPerValue prompt tokens that add one to the value
   * @param sharpness the width of the step between in time and late, as a part of the aim
   * @param caution the part of an aim that may be used up by the model's expectation
   * @param perEngine what each further engine costs, in value
   * @param otherZoneMs what an endpoint in another zone must be faster by, in milliseconds
   * @param slowLoss the part of its value that an answer loses which takes as long as its aim; in
   *     proportion to the square of the time up to there
   * @param opening what a short prompt costs on an engine that has none, in value
   * @param packing what each of its empty places costs, in parts of all its places, in value
   * @param beside what it costs that an engine with answers reads a part, in value
   * @param crowding what it costs in the last places of an engine, which other hosts may take at
   *     the same moment, in value
   * @param memoryMargin the part of an engine's memory that is left free
   * @param longTokens prompts from this length on do not count as short
   */
  public record Settings(
      double lateLoss,
      double baseValue,
      double tokensPerValue,
      double sharpness,
      double caution,
      double perEngine,
      double otherZoneMs,
      double slowLoss,
      double opening,
      double packing,
      double beside,
      double crowding,
      double memoryMargin,
      long longTokens) {
    /** Weights tried on played days; docs/ROUNDS.md has the figures. */
    public static final Settings DEFAULT =
        new Settings(
            0.75, 1, 13_000, 0.05, 0.85, 0.001, 2, 0.1, 0.3, 0.15, 0.05, 0.5, 0.02, 25_000);
  }

  /** Makes the policy with its weights. */
  public EngineModelPlacement(Settings settings) {
    this.settings = settings;
  }

  /**
   * One engine that may be used.
   *
   * @param part its place in the order among equals, 0 to 1
   * @param zoneMs what it costs to be in another zone, in milliseconds
   */
  private record Candidate(
      EndpointState state, EngineOutlook outlook, double part, double zoneMs) {}

  /**
   * One engine that could read a part.
   *
   * @param harm what others there would lose, in value, the order among equals included
   * @param firstTokenMs when its part would be read, in milliseconds
   */
  private record Option(Candidate candidate, double harm, double firstTokenMs) {
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
    List<Candidate> candidates = candidates(query);
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
  private Plan best(Query query, List<Candidate> candidates, Turn turn) {
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
  private static int mostEngines(RequestFacts facts, List<Candidate> candidates) {
    if (candidates.isEmpty()) {
      return 0;
    }
    EngineProfile profile = candidates.get(0).state().endpoint().engine().orElseThrow();
    long steps = facts.promptTokens() / Math.max(1, profile.chunkTokens());
    return (int) Math.max(1, Math.min(MOST_ENGINES, steps));
  }

  private boolean isLong(RequestFacts facts) {
    return facts.promptTokens() >= settings.longTokens();
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

  private List<Candidate> candidates(Query query) {
    List<Candidate> candidates = new ArrayList<>();
    int place = 0;
    for (EndpointState state : query.candidates()) {
      place++;
      if (query.usable(state) && state.endpoint().engine().isPresent()) {
        EngineOutlook outlook = state.load().outlook(settings.longTokens(), query.nowMs());
        double part = place / (double) query.candidates().size();
        double zoneMs = state.endpoint().zone().equals(query.zone()) ? 0 : settings.otherZoneMs();
        candidates.add(new Candidate(state, outlook, part, zoneMs));
      }
    }
    return candidates;
  }

  /** Returns the best plan of so many engines, or null when fewer can take part. */
  private Plan plan(Query query, List<Candidate> candidates, int engines, Turn turn) {
    RequestFacts facts = query.facts();
    long waitedMs = query.nowMs() - facts.arrivedMs();
    List<Option> options = new ArrayList<>();
    for (Candidate candidate : candidates) {
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
    double cost = harm + lateness(facts, waitedMs + latest) + settings.perEngine() * (engines - 1);
    return new Plan(chosen, latest, cost);
  }

  /** Returns so many of the options, the one that writes the answer first; none if none can. */
  private List<Option> cheapest(Query query, List<Option> options, int engines) {
    RequestFacts facts = query.facts();
    long waitedMs = query.nowMs() - facts.arrivedMs();
    ToDoubleFunction<Option> cost =
        option -> option.harm() + lateness(facts, waitedMs + option.firstTokenMs());
    Optional<Option> first =
        options.stream()
            .filter(EngineModelPlacement::canWrite)
            .min(
                Comparator.comparingDouble(
                    option -> cost.applyAsDouble(option) + writingCost(facts, option, engines)));
    if (first.isEmpty()) {
      return List.of();
    }
    List<Option> chosen = new ArrayList<>(engines);
    chosen.add(first.get());
    options.stream()
        .filter(option -> option != first.get())
        .sorted(
            Comparator.comparingDouble(option -> cost.applyAsDouble(option) + besideCost(option)))
        .limit(engines - 1)
        .forEach(chosen::add);
    return chosen;
  }

  /**
   * Returns what it costs that an engine writes an answer of several engines. Where nothing else is
   * written, passes have no steps and can be stopped, so that engines which only read are kept.
   */
  private double writingCost(RequestFacts facts, Option option, int engines) {
    if (engines == 1) {
      return 0;
    }
    boolean opens = option.candidate().outlook().streams() == 0;
    boolean needsOthers = freeTokens(option.state()) < facts.workTokens();
    return (opens ? settings.opening() : 0) + (needsOthers ? settings.opening() : 0);
  }

  /** Returns what it costs that an engine reads a part beside the answers that it writes. */
  private double besideCost(Option option) {
    return option.candidate().outlook().streams() == 0 ? 0 : settings.beside();
  }

  private static boolean canWrite(Option option) {
    return option.candidate().outlook().streams() < slots(option.candidate());
  }

  private static int slots(Candidate candidate) {
    return candidate.state().endpoint().engine().orElseThrow().slots();
  }

  /** Returns the option of one engine, or null when it cannot take its part. */
  private Option option(RequestFacts facts, Candidate candidate, int engines, Turn turn) {
    EngineOutlook outlook = candidate.outlook();
    boolean full =
        engines == 1
            ? outlook.streams() >= slots(candidate)
            : outlook.helping() >= slots(candidate);
    if (full || freeTokens(candidate.state()) < share(facts.workTokens(), engines)) {
      return null;
    }
    EngineProfile profile = candidate.state().endpoint().engine().orElseThrow();
    double partMs = profile.readMs(facts.promptTokens()) / engines * outlook.slowness();
    EngineOutlook.Amount part =
        new EngineOutlook.Amount(partMs, share(facts.promptTokens(), engines));
    double firstMs = firstTokenMs(outlook, part, engines, turn) + candidate.zoneMs();
    boolean before = engines > 1 && turn == Turn.BEFORE_OTHERS;
    double harm =
        harmToWriting(outlook, part)
            + harmToUnread(outlook, partMs, engines, before)
            + orderCost(facts, candidate);
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
    long margin = (long) (memory * settings.memoryMargin());
    return memory - margin - state.load().memoryTokens();
  }

  private static long share(long tokens, int engines) {
    return (tokens + engines - 1) / engines;
  }

  /**
   * Returns what a choice costs beyond its own time and the harm that it does at once: short
   * prompts go where others are, long ones to the last in order among equals.
   */
  private double orderCost(RequestFacts facts, Candidate candidate) {
    if (isLong(facts)) {
      return settings.perEngine() * (1 - candidate.part());
    }
    int slots = slots(candidate);
    EngineOutlook outlook = candidate.outlook();
    boolean opens = outlook.shortStreams() == 0;
    boolean crowded = slots - outlook.streams() <= 1;
    double empty = 1 - outlook.shortStreams() / (double) slots;
    return (opens ? settings.opening() : 0)
        + settings.packing() * empty
        + (crowded ? settings.crowding() : 0)
        + settings.perEngine() * candidate.part();
  }

  /** Returns the value that answers lose which pause while an engine reads one more part. */
  private double harmToWriting(EngineOutlook outlook, EngineOutlook.Amount part) {
    double before = outlook.pauseMs();
    double after = outlook.pauseMs(part);
    double harm = 0;
    for (EngineJob job : outlook.writing()) {
      long pauseMs = job.aims().pauseMs();
      if (pauseMs > 0) {
        harm += lateLoss(job) * (step(after, pauseMs) - step(before, pauseMs));
      }
    }
    return harm;
  }

  /**
   * Returns the value that prompts lose which an engine reads later.
   *
   * @param beforeOthers whether the new part goes before parts of prompts on several engines too
   */
  private double harmToUnread(
      EngineOutlook outlook, double partMs, int engines, boolean beforeOthers) {
    double harm = 0;
    for (EngineOutlook.Unread one : outlook.unread()) {
      long aimMs = one.job().aims().firstTokenMs();
      boolean shared = one.job().parts() > 1;
      boolean later = one.inPass() ? beforeOthers && outlook.stoppable() : !shared || beforeOthers;
      if (later && aimMs > 0) {
        double more = loss(one.firstTokenMs() + partMs, aimMs) - loss(one.firstTokenMs(), aimMs);
        // A prompt on several engines is held up once, however many of them have more to read.
        int together = Math.min(engines, one.job().parts());
        harm += value(one.job().promptTokens()) * more / together;
      }
    }
    return harm;
  }

  private double lateLoss(EngineJob job) {
    return value(job.promptTokens()) * settings.lateLoss();
  }

  private double lateness(RequestFacts facts, double firstTokenMs) {
    return value(facts.promptTokens()) * loss(firstTokenMs, aimMs(facts));
  }

  /**
   * Returns what part of its value a request loses whose first token comes after a time. It grows
   * faster the nearer its aim is, so that one that has waited for long is not put behind newer
   * ones; one that is late anyway loses no more until its caller leaves.
   */
  private double loss(double firstTokenMs, double aimMs) {
    double late = settings.lateLoss() * step(firstTokenMs, aimMs);
    double lost = (1 - settings.lateLoss()) * step(firstTokenMs, PATIENCE_AIMS * aimMs);
    double aims = Math.min(1, firstTokenMs / aimMs);
    return late + lost + settings.slowLoss() * aims * aims;
  }

  private static double aimMs(RequestFacts facts) {
    long aimMs = facts.aims().firstTokenMs();
    return aimMs > 0 ? aimMs : AIM_IF_NONE_MS;
  }

  private double value(long promptTokens) {
    return settings.baseValue() + promptTokens / settings.tokensPerValue();
  }

  /** Returns how likely a time is over its aim: 0 well below, 1 well above. */
  private double step(double timeMs, double aimMs) {
    double distance = (timeMs / aimMs - settings.caution()) / settings.sharpness();
    return 1 / (1 + Math.exp(-distance));
  }

  private Choice choice(Query query, List<Candidate> candidates, Plan plan) {
    RequestFacts facts = query.facts();
    Option first = plan.options().get(0);
    List<Helper> helpers = new ArrayList<>();
    long need = facts.workTokens();
    boolean alone = freeTokens(first.state()) >= need;
    long share = share(need, plan.options().size());
    for (Option option : plan.options().subList(1, plan.options().size())) {
      helpers.add(new Helper(option.state(), alone ? 0 : share));
    }
    Reason reason = helpers.isEmpty() ? Reason.EARLIEST_FIRST_TOKEN : Reason.SEVERAL_ENGINES;
    OptionalLong expectedMs = OptionalLong.of(Math.round(plan.firstTokenMs()));
    List<PassedOver> passedOver = passedOver(facts, candidates, first);
    return new Choice(first.state(), reason, passedOver, helpers, expectedMs);
  }

  private static List<PassedOver> passedOver(
      RequestFacts facts, List<Candidate> candidates, Option best) {
    List<PassedOver> shown = new ArrayList<>(SHOWN);
    for (Candidate candidate : candidates) {
      if (shown.size() < SHOWN && candidate != best.candidate()) {
        EngineProfile profile = candidate.state().endpoint().engine().orElseThrow();
        double partMs = profile.readMs(facts.promptTokens()) * candidate.outlook().slowness();
        EngineOutlook.Amount prompt = new EngineOutlook.Amount(partMs, facts.promptTokens());
        long firstMs = Math.round(candidate.outlook().aloneMs(prompt));
        shown.add(new PassedOver(candidate.state().endpoint().name(), firstMs));
      }
    }
    return List.copyOf(shown);
  }
}
