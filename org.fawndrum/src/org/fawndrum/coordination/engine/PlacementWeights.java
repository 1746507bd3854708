// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

/**
 * The weights of {@link EngineModelPlacement}. Values are in the worth of a prompt without tokens.
 *
 * <p>Measured on played days without the price of processor time, mean over five days with trouble:
 * the model of passes with long prompts on many engines 0.71, few engines that write 0.03 more, the
 * last place of an engine left free 0.01 more, the square of the time up to the aim alone 0.01
 * more. On one such day the packing of short prompts was worth 0.23, waiting for a turn 0.07.
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
 * @param crowding what it costs in the last places of an engine, which other hosts may take at the
 *     same moment, in value
 * @param memoryMargin the part of an engine's memory that is left free
 * @param longTokens prompts from this length on do not count as short
 */
public record PlacementWeights(
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
  /** The weights that daemons use. */
  public static final PlacementWeights DEFAULT =
      new PlacementWeights(
          0.75, 1, 13_000, 0.05, 0.85, 0.001, 2, 0.1, 0.3, 0.15, 0.05, 0.5, 0.02, 25_000);
}
