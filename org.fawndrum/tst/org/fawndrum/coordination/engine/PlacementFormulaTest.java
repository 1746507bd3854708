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
import org.fawndrum.coordination.PassedOver;
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
import org.fawndrum.state.RequestAims;

/** Holds the placement against its formula, written down without any saving of work. */
class PlacementFormulaTest {
  private static final PlacementWeights WEIGHTS = PlacementWeights.DEFAULT;
  private static final List<EngineProfile> PROFILES =
      List.of(
          new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075),
          new EngineProfile(4, 90_001, 20, 4, 0.1, 0.02, 30, 0.5, 512, 0.5));
  private static final long[] PROMPTS = {300, 1_000, 5_000, 24_999, 60_001, 120_000, 200_003};
  private static final List<RequestAims> AIMS =
      List.of(RequestAims.NONE, new RequestAims(300, 250, 2), new RequestAims(2_500, 1_000, 2));

  /** From how many milliseconds of earlier parts on a prompt waits for its turn. */
  private static final double SOON_MS = 30;

  private long nextId;

  @Property(seed = "31", tries = 3_000)
  void eachChoiceIsTheOneOfTheFormula(@ForAll Random random) {
    Placement.Query query = query(random);
    Optional<Placement.Choice> expected = new Formula(query).choice();
    assertEquals(expected, new EngineModelPlacement(WEIGHTS).choose(query));
    Statistics.label("choice")
        .collect(expected.map(choice -> choice.helpers().isEmpty() ? "one" : "several").orElse(""))
        .coverage(
            seen -> {
              seen.check("one").percentage(part -> part > 10);
              seen.check("several").percentage(part -> part > 10);
              seen.check("").percentage(part -> part > 3);
            });
  }

  private Placement.Query query(Random random) {
    EngineProfile profile = PROFILES.get(random.nextInt(PROFILES.size()));
    long nowMs = 1_000 + random.nextInt(2_000);
    int busy = random.nextInt(12);
    List<EndpointState> states = new ArrayList<>();
    Set<HostIdentity> excluded = new HashSet<>();
    int count = 1 + random.nextInt(20);
    for (int i = 0; i < count; i++) {
      EndpointState state = TestEndpoints.state(engine(i, random.nextInt(4) == 0, profile));
      states.add(state);
      fill(state, random, busy, nowMs);
      if (random.nextInt(15) == 0) {
        excluded.add(state.endpoint().identity());
      }
    }
    RequestAims aims = AIMS.get(random.nextInt(AIMS.size()));
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
            aims);
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

  /** Gives an engine some work, part of which has been read or has ended. */
  private void fill(EndpointState state, Random random, int busy, long nowMs) {
    long sentMs = 0;
    int jobs = random.nextInt(1 + busy);
    for (int i = 0; i < jobs; i++) {
      sentMs += random.nextInt((int) (nowMs / jobs) + 1);
      long id = nextId++;
      int parts = random.nextInt(3) == 0 ? 2 + random.nextInt(8) : 1;
      boolean writes = parts == 1 || random.nextInt(parts) == 0;
      long prompt = prompt(random);
      RequestAims aims = AIMS.get(random.nextInt(AIMS.size()));
      HostIdentity at = state.endpoint().identity();
      state
          .load()
          .add(new EngineJob(id, at, prompt, prompt / parts, parts, writes, aims, sentMs), sentMs);
      if (random.nextInt(3) == 0) {
        state.load().read(id, sentMs + random.nextInt((int) (nowMs - sentMs) + 1));
      }
      if (random.nextInt(8) == 0) {
        state.load().ended(id, nowMs);
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

    /** Engines that together take the request, the writing one first. */
    private record Plan(List<EngineCandidate> engines, double firstTokenMs, double cost) {}

    Formula(Placement.Query query) {
      this.query = query;
      this.facts = query.facts();
      int count = query.candidates().size();
      for (int i = 0; i < count; i++) {
        EndpointState state = query.candidates().get(i);
        if (query.usable(state)) {
          EngineOutlook outlook = state.load().outlook(WEIGHTS.longTokens(), query.nowMs());
          boolean here = state.endpoint().zone().equals(query.zone());
          long memory = state.endpoint().memoryTokens();
          long margin = (long) (memory * WEIGHTS.memoryMargin());
          long free = memory - margin - state.load().memoryTokens();
          double zoneMs = here ? 0 : WEIGHTS.otherZoneMs();
          candidates.add(
              new EngineCandidate(state, outlook, (i + 1) / (double) count, zoneMs, free));
        }
      }
    }

    Optional<Placement.Choice> choice() {
      Plan now = best(true);
      if (now == null) {
        return Optional.empty();
      }
      Plan later = best(false);
      boolean waits =
          now.engines.size() > 1
              && later.cost < now.cost
              && later.engines.stream().anyMatch(one -> one.outlook().sharedMs() > SOON_MS);
      return waits ? Optional.empty() : Optional.of(choice(now));
    }

    private Placement.Choice choice(Plan plan) {
      EngineCandidate first = plan.engines.get(0);
      long each = roundedUp(facts.workTokens(), plan.engines.size());
      long elsewhere = first.freeTokens() >= facts.workTokens() ? 0 : each;
      List<Placement.Helper> helpers =
          plan.engines.stream()
              .skip(1)
              .map(one -> new Placement.Helper(one.state(), elsewhere))
              .toList();
      Reason reason = helpers.isEmpty() ? Reason.EARLIEST_FIRST_TOKEN : Reason.SEVERAL_ENGINES;
      return new Placement.Choice(
          first.state(),
          reason,
          candidates.stream()
              .filter(one -> one != first)
              .limit(3)
              .map(one -> new PassedOver(one.name(), Math.round(aloneMs(one))))
              .toList(),
          helpers,
          OptionalLong.of(Math.round(plan.firstTokenMs)));
    }

    private double aloneMs(EngineCandidate one) {
      return one.outlook().aloneMs(part(one, 1));
    }

    private Plan best(boolean atOnce) {
      Plan best = null;
      for (int count = 1; count <= most(); count++) {
        Plan plan = plan(count, atOnce);
        if (plan != null && (best == null || plan.cost < best.cost)) {
          best = plan;
        }
      }
      return best;
    }

    private int most() {
      if (candidates.isEmpty()) {
        return 0;
      }
      long steps = facts.promptTokens() / candidates.get(0).profile().chunkTokens();
      return (int) Math.max(1, Math.min(Math.min(17, steps), candidates.size()));
    }

    private Plan plan(int count, boolean atOnce) {
      List<EngineCandidate> able =
          candidates.stream()
              .filter(one -> count == 1 ? one.canWrite() : one.canHelp())
              .filter(one -> one.freeTokens() >= roundedUp(facts.workTokens(), count))
              .toList();
      EngineCandidate writer = null;
      for (EngineCandidate one : able) {
        boolean can = one.canWrite();
        if (can
            && (writer == null || writing(one, count, atOnce) < writing(writer, count, atOnce))) {
          writer = one;
        }
      }
      if (writer == null || able.size() < count) {
        return null;
      }
      List<EngineCandidate> chosen = new ArrayList<>(List.of(writer));
      List<EngineCandidate> others = new ArrayList<>(able);
      others.remove(writer);
      others.sort((a, b) -> Double.compare(reading(a, count, atOnce), reading(b, count, atOnce)));
      chosen.addAll(others.subList(0, count - 1));
      double latest =
          chosen.stream().mapToDouble(one -> firstMs(one, count, atOnce)).max().orElse(0);
      double harm = chosen.stream().mapToDouble(one -> harm(one, count, atOnce)).sum();
      return new Plan(chosen, latest, harm + lateness(latest) + WEIGHTS.perEngine() * (count - 1));
    }

    private double writing(EngineCandidate one, int count, boolean atOnce) {
      return alone(one, count, atOnce) + costs.ofWriting(facts, one, count);
    }

    private double reading(EngineCandidate one, int count, boolean atOnce) {
      return alone(one, count, atOnce) + costs.ofReadingBeside(one);
    }

    private double alone(EngineCandidate one, int count, boolean atOnce) {
      return harm(one, count, atOnce) + lateness(firstMs(one, count, atOnce));
    }

    private double lateness(double firstMs) {
      return costs.lateness(facts, query.nowMs() - facts.arrivedMs() + firstMs);
    }

    private double harm(EngineCandidate one, int count, boolean atOnce) {
      EngineOutlook.Amount part = part(one, count);
      boolean before = count > 1 && atOnce;
      return costs.harmToWriting(one.outlook(), part)
          + costs.harmToUnread(one.outlook(), part.ms(), count, before)
          + costs.ofOrder(facts, one);
    }

    private double firstMs(EngineCandidate one, int count, boolean atOnce) {
      EngineOutlook.Amount part = part(one, count);
      double several = atOnce ? one.outlook().sharedMs(part) : one.outlook().afterOthersMs(part);
      return (count == 1 ? one.outlook().aloneMs(part) : several) + one.zoneMs();
    }

    private EngineOutlook.Amount part(EngineCandidate one, int count) {
      double ms = one.profile().readMs(facts.promptTokens()) / count * one.outlook().slowness();
      return new EngineOutlook.Amount(ms, roundedUp(facts.promptTokens(), count));
    }

    private static long roundedUp(long tokens, int count) {
      return tokens / count + (tokens % count == 0 ? 0 : 1);
    }
  }
}
