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
import org.fawndrum.state.EngineProfile;

/**
 * Places by what a choice costs: the value that the request itself is expected to lose by coming
 * late, and the value that those already on an engine lose because it has more to read. A prompt
 * that one engine would read too late, or could not hold, is read by several. All daemons use the
 * same model and the same order among equals, so that they agree without asking. Confined to one
 * thread.
 */
public final class EngineModelPlacement implements Placement {
  /** How many passed-over engines a decision shows. */
  private static final int SHOWN = 3;

  /** What a plain endpoint in another zone costs, in pieces of work. */
  private static final double OTHER_ZONE_WORK = 0.5;

  /** The aim of a request whose route names none, in milliseconds. */
  private static final long AIM_IF_NONE_MS = 1_000;

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
   * @param mostEngines the most engines for one prompt
   * @param otherZoneMs what an endpoint in another zone must be faster by, in milliseconds
   * @param speedWeight what a whole aim's worth of time costs when it is in time, in value
   * @param gather how strongly short prompts gather at the first engines in order, in value
   * @param memoryMargin the part of an engine's memory that is left free
   * @param longTokens prompts from this length on are kept apart from shorter ones
   */
  public record Settings(
      double lateLoss,
      double baseValue,
      double tokensPerValue,
      double sharpness,
      double caution,
      double perEngine,
      int mostEngines,
      double otherZoneMs,
      double speedWeight,
      double gather,
      double memoryMargin,
      long longTokens) {
    /** Weights tried on played days; docs/ROUNDS.md has the figures. */
    public static final Settings DEFAULT =
        new Settings(0.75, 1, 13_000, 0.07, 0.8, 0.1, 8, 2, 0.02, 0.15, 0.02, 25_000);
  }

  /** Makes the policy with its weights. */
  public EngineModelPlacement(Settings settings) {
    this.settings = settings;
  }

  /**
   * One engine that could take part.
   *
   * @param place its place in the order among equals
   * @param harm what others there would lose, in value, the order among equals included
   * @param firstTokenMs when its part would be read, in milliseconds
   */
  private record Option(EndpointState state, int place, double harm, double firstTokenMs) {}

  /** Engines that together would take a request, the writing one first. */
  private record Plan(List<Option> options, double firstTokenMs, double cost) {}

  @Override
  public Optional<Choice> choose(Query query) {
    if (query.facts().target().kind() == EndpointKind.PLAIN) {
      return plain(query);
    }
    Plan best = null;
    for (int engines = 1; engines <= settings.mostEngines(); engines++) {
      Plan plan = plan(query, engines);
      if (plan != null && (best == null || plan.cost() < best.cost())) {
        best = plan;
      }
      if (best != null && worthNoMore(query, best, engines)) {
        break;
      }
    }
    return best == null ? Optional.empty() : Optional.of(choice(query, best));
  }

  /** Tells whether further engines cannot make up for what they cost. */
  private boolean worthNoMore(Query query, Plan best, int engines) {
    return best.cost() < settings.perEngine() * engines
        || query.facts().promptTokens() < settings.longTokens();
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

  /** Returns the best plan of so many engines, or null when fewer can take part. */
  private Plan plan(Query query, int engines) {
    List<Option> options = options(query, engines);
    if (options.size() < engines) {
      return null;
    }
    List<Option> chosen = cheapest(query.facts(), options, engines);
    double latest = chosen.stream().mapToDouble(Option::firstTokenMs).max().orElse(0);
    double harm = chosen.stream().mapToDouble(Option::harm).sum();
    double cost = harm + lateness(query.facts(), latest) + settings.perEngine() * (engines - 1);
    return new Plan(chosen, latest, cost);
  }

  /** Returns the engines that can take one part of so many. */
  private List<Option> options(Query query, int engines) {
    List<Option> options = new ArrayList<>();
    int place = 0;
    for (EndpointState state : query.candidates()) {
      place++;
      if (query.usable(state) && state.endpoint().engine().isPresent()) {
        Option option = option(query, state, place, engines);
        if (option != null) {
          options.add(option);
        }
      }
    }
    return options;
  }

  /** Returns so many of the options, the one that writes the answer first. */
  private List<Option> cheapest(RequestFacts facts, List<Option> options, int engines) {
    options.sort(
        Comparator.comparingDouble(
            option -> option.harm() + lateness(facts, option.firstTokenMs())));
    List<Option> chosen = new ArrayList<>(options.subList(0, engines));
    // The one with the fewest streams writes: its steps slow down what is written there.
    chosen.sort(
        Comparator.<Option>comparingInt(option -> option.state().load().streams())
            .thenComparingInt(Option::place));
    return chosen;
  }

  /** Returns the option of one engine, or null when it cannot take its part. */
  private Option option(Query query, EndpointState state, int place, int engines) {
    RequestFacts facts = query.facts();
    EngineProfile profile = state.endpoint().engine().orElseThrow();
    EngineLoad load = state.load();
    boolean full = load.streams() >= profile.slots();
    if (full || freeTokens(state) < share(facts.workTokens(), engines)) {
      return null;
    }
    long nowMs = query.nowMs();
    double firstMs =
        load.firstTokenMs(facts.promptTokens(), engines, nowMs)
            + load.overdueMs(nowMs)
            + zoneMs(state, query);
    double readMs = profile.readMs(facts.promptTokens()) / engines;
    double harm = harm(load, readMs, nowMs) + orderCost(query, place);
    if (engines > 1) {
      harm += harmToWaiting(load, readMs, nowMs);
    }
    return new Option(state, place, harm, firstMs);
  }

  private long freeTokens(EndpointState state) {
    long memory = state.endpoint().memoryTokens();
    long margin = (long) (memory * settings.memoryMargin());
    return memory - margin - state.load().memoryTokens();
  }

  private static long share(long tokens, int engines) {
    return (tokens + engines - 1) / engines;
  }

  private double zoneMs(EndpointState state, Query query) {
    return state.endpoint().zone().equals(query.zone()) ? 0 : settings.otherZoneMs();
  }

  /**
   * Short prompts gather at the first engines in order and long ones at the last, so that an engine
   * with streams that must not pause is seldom asked to read for long.
   */
  private double orderCost(Query query, int place) {
    double part = place / (double) Math.max(1, query.candidates().size());
    boolean isLong = query.facts().promptTokens() >= settings.longTokens();
    return settings.gather() * (isLong ? 1 - part : part);
  }

  /** Returns the value that streams on an engine lose when it reads for so much longer. */
  private double harm(EngineLoad load, double readMs, long nowMs) {
    double passMs = load.passMs(nowMs);
    double before = passMs + load.unreadMs(nowMs);
    double after = before + readMs;
    double harm = 0;
    for (EngineJob job : load.writing()) {
      long pauseMs = job.aims().pauseMs();
      if (pauseMs > 0) {
        double more = step(after, pauseMs) - step(before, pauseMs);
        harm += value(job.promptTokens()) * settings.lateLoss() * more;
      }
    }
    return harm;
  }

  /** Returns the value that waiting prompts lose when a part of another is read before them. */
  private double harmToWaiting(EngineLoad load, double readMs, long nowMs) {
    double harm = 0;
    for (EngineLoad.Waiting one : load.waiting(nowMs)) {
      long aimMs = one.job().aims().firstTokenMs();
      if (aimMs > 0) {
        double more = step(one.firstTokenMs() + readMs, aimMs) - step(one.firstTokenMs(), aimMs);
        harm += value(one.job().promptTokens()) * settings.lateLoss() * more;
      }
    }
    return harm;
  }

  private double lateness(RequestFacts facts, double firstTokenMs) {
    double aimMs = aimMs(facts);
    double late = settings.lateLoss() * step(firstTokenMs, aimMs);
    return value(facts.promptTokens()) * (late + settings.speedWeight() * firstTokenMs / aimMs);
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

  private Choice choice(Query query, Plan plan) {
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
    return new Choice(first.state(), reason, passedOver(query, first), helpers, expectedMs);
  }

  private List<PassedOver> passedOver(Query query, Option best) {
    List<PassedOver> shown = new ArrayList<>(SHOWN);
    for (EndpointState state : query.candidates()) {
      if (shown.size() >= SHOWN) {
        break;
      }
      if (state != best.state() && state.endpoint().engine().isPresent()) {
        double firstMs = state.load().firstTokenMs(query.facts().promptTokens(), 1, query.nowMs());
        shown.add(new PassedOver(state.endpoint().name(), (long) firstMs));
      }
    }
    return List.copyOf(shown);
  }
}
