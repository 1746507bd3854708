// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import org.fawndrum.coordination.RequestFacts;

/**
 * The cost of sending a prompt to an engine, in units of value. Stateless: equal inputs have equal
 * costs.
 */
final class PlacementCosts {
  /** The first-token target of a request whose route has none, in milliseconds. */
  private static final long DEFAULT_TARGET_MS = 1_000;

  /** Number of first-token targets after which a caller without an answer gives up. */
  private static final double PATIENCE_TARGETS = 4;

  private final PlacementWeights weights;

  PlacementCosts(PlacementWeights weights) {
    this.weights = weights;
  }

  private boolean isLong(RequestFacts facts) {
    return facts.promptTokens() >= weights.longTokens();
  }

  /**
   * Returns the cost of a choice beyond its own latency and the harm to others: short prompts
   * prefer engines that already have streams with short prompts, long ones prefer the last engine
   * in the order.
   */
  double orderCost(RequestFacts facts, EngineCandidate candidate) {
    if (isLong(facts)) {
      return weights.engineCost() * (1 - candidate.orderFraction());
    }
    int slots = candidate.profile().slots();
    EngineForecast forecast = candidate.forecast();
    boolean opensEngine = forecast.shortStreams() == 0;
    boolean crowded = slots - forecast.streams() <= 1;
    double emptyFraction = 1 - forecast.shortStreams() / (double) slots;
    return (opensEngine ? weights.openingCost() : 0)
        + weights.packingCost() * emptyFraction
        + (crowded ? weights.crowdingCost() : 0)
        + weights.engineCost() * candidate.orderFraction();
  }

  /** Returns the value that streams lose by pausing while an engine prefills one more segment. */
  double decodeHarm(EngineForecast forecast, EngineForecast.PrefillWork segment) {
    double beforeMs = forecast.pauseMs();
    double afterMs = forecast.pauseMs(segment);
    double harm = 0;
    for (EngineJob job : forecast.unpausedStreams()) {
      long pauseMs = job.latencyTargets().pauseMs();
      if (pauseMs > 0) {
        harm +=
            pauseLoss(job)
                * (lateProbability(afterMs, pauseMs) - lateProbability(beforeMs, pauseMs));
      }
    }
    return harm;
  }

  /**
   * Returns the value that prompts lose because their prefill is delayed.
   *
   * @param beforeOthers whether the new segment goes ahead of other shared prompts, too
   */
  double prefillHarm(EngineForecast forecast, double segmentMs, int engines, boolean beforeOthers) {
    double harm = 0;
    for (EngineForecast.PendingPrefill pending : forecast.pendingPrefills()) {
      long targetMs = pending.job().latencyTargets().firstTokenMs();
      boolean shared = pending.job().segments() > 1;
      boolean isDelayed =
          pending.inIteration() ? beforeOthers && forecast.preemptible() : !shared || beforeOthers;
      if (isDelayed && targetMs > 0) {
        double addedLoss =
            loss(pending.firstTokenMs() + segmentMs, targetMs)
                - loss(pending.firstTokenMs(), targetMs);
        // A shared prompt is delayed once, however many of its engines have more to prefill.
        int engineCount = Math.min(engines, pending.job().segments());
        harm += value(pending.job().promptTokens()) * addedLoss / engineCount;
      }
    }
    return harm;
  }

  private double pauseLoss(EngineJob job) {
    return value(job.promptTokens()) * weights.lateLoss();
  }

  /**
   * Returns the value that a request loses if its first token comes after a time from its arrival.
   */
  double latenessCost(RequestFacts facts, double firstTokenMs) {
    return value(facts.promptTokens()) * loss(firstTokenMs, targetMs(facts));
  }

  /** Returns the value that a request loses by a late first token. */
  double lateCost(RequestFacts facts) {
    return value(facts.promptTokens()) * weights.lateLoss();
  }

  /**
   * Returns the fraction of its value that a request loses if its first token comes after a time.
   * The loss grows faster towards the target, so a request that has waited for long is not placed
   * behind newer ones. A request that is late anyway loses no more until its caller gives up.
   */
  private double loss(double firstTokenMs, double targetMs) {
    double lateLoss = weights.lateLoss() * lateProbability(firstTokenMs, targetMs);
    double abandonLoss =
        (1 - weights.lateLoss()) * lateProbability(firstTokenMs, PATIENCE_TARGETS * targetMs);
    double targetFraction = Math.min(1, firstTokenMs / targetMs);
    return lateLoss + abandonLoss + weights.slowLoss() * targetFraction * targetFraction;
  }

  private static double targetMs(RequestFacts facts) {
    long targetMs = facts.latencyTargets().firstTokenMs();
    return targetMs > 0 ? targetMs : DEFAULT_TARGET_MS;
  }

  private double value(long promptTokens) {
    return weights.baseValue() + promptTokens / weights.tokensPerValue();
  }

  /** Returns the probability that a time exceeds its target: 0 well below, 1 well above. */
  private double lateProbability(double timeMs, double targetMs) {
    double distance =
        (timeMs / targetMs - weights.usableTargetFraction()) / weights.lateStepWidth();
    return 1 / (1 + Math.exp(-distance));
  }

  /**
   * Returns the cost of an engine for decoding a shared prompt. Without decoding streams,
   * iterations have no decode steps and can be preempted, so engines that only prefill are left
   * free.
   */
  double decoderCost(RequestFacts facts, EngineCandidate candidate, int engines) {
    if (engines == 1) {
      return 0;
    }
    boolean opensEngine = candidate.forecast().streams() == 0;
    boolean needsOthers = candidate.freeTokens() < facts.workTokens();
    return (opensEngine ? weights.openingCost() : 0) + (needsOthers ? weights.openingCost() : 0);
  }

  /** Returns the cost of prefilling a segment on an engine that also decodes. */
  double mixedPrefillCost(EngineCandidate candidate) {
    return candidate.forecast().streams() == 0 ? 0 : weights.mixedPrefillCost();
  }
}
