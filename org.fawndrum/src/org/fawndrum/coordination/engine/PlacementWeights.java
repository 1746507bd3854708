// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

/**
 * The weights of {@link EngineModelPlacement}. The unit of value is the value of a prompt without
 * tokens.
 *
 * <p>Effect on the score of simulated days without the cost of processor time, mean over five days
 * with faults: the iteration model with long prompts shared by many engines 0.71, few decoding
 * engines 0.03 more, the last slot of an engine left free 0.01 more, the square of the time up to
 * the target alone 0.01 more. On one such day the packing of short prompts contributed 0.23, and
 * waiting for earlier shared prompts 0.07.
 *
 * @param lateLoss the fraction of its value that a late answer loses
 * @param baseValue the value of a request of any length
 * @param tokensPerValue the number of prompt tokens that add one to the value
 * @param lateStepWidth the width of the step between in time and late, as a fraction of the target
 * @param usableTargetFraction the fraction of a target that the forecast may use up
 * @param engineCost the cost of each further engine, in value
 * @param otherZoneMs the penalty for an endpoint in another zone, in milliseconds
 * @param slowLoss the fraction of its value that an answer loses if it takes as long as its target;
 *     below that, proportional to the square of the time
 * @param openingCost the cost of a short prompt on an engine that has no short prompts, in value
 * @param packingCost the cost of a short prompt on an engine without other short prompts, in value;
 *     proportional to the fraction of its slots without short prompts
 * @param mixedPrefillCost the cost of prefilling a segment on an engine that also decodes, in value
 * @param crowdingCost the cost of the last slots of an engine, which other hosts may use at the
 *     same instant, in value
 * @param memoryMargin the fraction of an engine's memory that is left free
 * @param longTokens the length from which a prompt counts as long, in tokens
 */
public record PlacementWeights(
    double lateLoss,
    double baseValue,
    double tokensPerValue,
    double lateStepWidth,
    double usableTargetFraction,
    double engineCost,
    double otherZoneMs,
    double slowLoss,
    double openingCost,
    double packingCost,
    double mixedPrefillCost,
    double crowdingCost,
    double memoryMargin,
    long longTokens) {
  /** The weights that daemons use. */
  public static final PlacementWeights DEFAULT =
      new PlacementWeights(
          0.75, 1, 13_000, 0.05, 0.85, 0.001, 2, 0.1, 0.3, 0.15, 0.05, 0.5, 0.02, 25_000);
}
