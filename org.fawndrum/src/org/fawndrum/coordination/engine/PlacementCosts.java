// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import org.fawndrum.coordination.RequestFacts;

/** What it costs to send a prompt to an engine, in value. Stateless: equal inputs cost the same. */
final class PlacementCosts {
  /** The aim of a request whose route names none, in milliseconds. */
  private static final long AIM_IF_NONE_MS = 1_000;

  /** After how many aims a caller that has heard nothing leaves. */
  private static final double PATIENCE_AIMS = 4;

  private final PlacementWeights weights;

  PlacementCosts(PlacementWeights weights) {
    this.weights = weights;
  }

  private boolean isLong(RequestFacts facts) {
    return facts.promptTokens() >= weights.longTokens();
  }

  /**
   * Returns what a choice costs beyond its own time and the harm that it does at once: short
   * prompts go where others are, long ones to the last in order among equals.
   */
  double ofOrder(RequestFacts facts, EngineCandidate candidate) {
    if (isLong(facts)) {
      return weights.perEngine() * (1 - candidate.part());
    }
    int slots = candidate.profile().slots();
    EngineOutlook outlook = candidate.outlook();
    boolean opens = outlook.shortStreams() == 0;
    boolean crowded = slots - outlook.streams() <= 1;
    double empty = 1 - outlook.shortStreams() / (double) slots;
    return (opens ? weights.opening() : 0)
        + weights.packing() * empty
        + (crowded ? weights.crowding() : 0)
        + weights.perEngine() * candidate.part();
  }

  /** Returns the value that answers lose which pause while an engine reads one more part. */
  double harmToWriting(EngineOutlook outlook, EngineOutlook.Amount part) {
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
  double harmToUnread(EngineOutlook outlook, double partMs, int engines, boolean beforeOthers) {
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
    return value(job.promptTokens()) * weights.lateLoss();
  }

  /**
   * Returns the value that a request loses whose first token comes after a time from its arrival.
   */
  double lateness(RequestFacts facts, double firstTokenMs) {
    return value(facts.promptTokens()) * loss(firstTokenMs, aimMs(facts));
  }

  /**
   * Returns what part of its value a request loses whose first token comes after a time. It grows
   * faster the nearer its aim is, so that one that has waited for long is not put behind newer
   * ones; one that is late anyway loses no more until its caller leaves.
   */
  private double loss(double firstTokenMs, double aimMs) {
    double late = weights.lateLoss() * step(firstTokenMs, aimMs);
    double lost = (1 - weights.lateLoss()) * step(firstTokenMs, PATIENCE_AIMS * aimMs);
    double aims = Math.min(1, firstTokenMs / aimMs);
    return late + lost + weights.slowLoss() * aims * aims;
  }

  private static double aimMs(RequestFacts facts) {
    long aimMs = facts.aims().firstTokenMs();
    return aimMs > 0 ? aimMs : AIM_IF_NONE_MS;
  }

  private double value(long promptTokens) {
    return weights.baseValue() + promptTokens / weights.tokensPerValue();
  }

  /** Returns how likely a time is over its aim: 0 well below, 1 well above. */
  private double step(double timeMs, double aimMs) {
    double distance = (timeMs / aimMs - weights.caution()) / weights.sharpness();
    return 1 / (1 + Math.exp(-distance));
  }

  /**
   * Returns what it costs that an engine writes an answer of several engines. Where nothing else is
   * written, passes have no steps and can be stopped, so that engines which only read are kept.
   */
  double ofWriting(RequestFacts facts, EngineCandidate candidate, int engines) {
    if (engines == 1) {
      return 0;
    }
    boolean opens = candidate.outlook().streams() == 0;
    boolean needsOthers = candidate.freeTokens() < facts.workTokens();
    return (opens ? weights.opening() : 0) + (needsOthers ? weights.opening() : 0);
  }

  /** Returns what it costs that an engine reads a part beside the answers that it writes. */
  double ofReadingBeside(EngineCandidate candidate) {
    return candidate.outlook().streams() == 0 ? 0 : weights.beside();
  }
}
