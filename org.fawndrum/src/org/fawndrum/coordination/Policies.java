// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.fawndrum.coordination.engine.EngineModelPlacement;
import org.fawndrum.coordination.engine.PlacementWeights;

/**
 * The pluggable policies of one host. An instance belongs to one coordinator.
 *
 * @param placement chooses endpoints
 * @param order orders caller groups
 * @param lengthClassifier classifies prompts by length
 * @param retries the retry budget
 * @param maxAttempts the maximum number of attempts for one request
 * @param allHostsReporting whether this host receives updates from all other daemons it knows
 * @param refuseEarly whether a request that cannot finish in time is refused before it is queued
 */
public record Policies(
    Placement placement,
    QueueOrder order,
    PromptLengthClassifier lengthClassifier,
    RetryBudget retries,
    int maxAttempts,
    BooleanSupplier allHostsReporting,
    boolean refuseEarly) {
  private static final double SHORT_FRACTION = 0.5;
  private static final double RETRY_RATIO = 0.1;
  private static final double RETRY_RESERVE = 10;
  private static final int MAX_ATTEMPTS = 4;
  private static final double SHORT_CREDIT = 200_000;

  /** Returns the default policies without engine profiles. */
  public static Policies standard() {
    return of(
        new EarliestFirstTokenPlacement(EarliestFirstTokenPlacement.Settings.DEFAULT),
        new WeightedFairOrder(SHORT_CREDIT),
        true);
  }

  /** Returns the first baseline: first come, first served, with endpoints in rotation. */
  public static Policies firstComeRoundRobin() {
    return of(new RoundRobinPlacement(), new FirstComeOrder(), false);
  }

  /** Returns the second baseline: first come, first served, with the fewest requests in flight. */
  public static Policies firstComeLeastInFlight() {
    return of(new LeastInFlightPlacement(), new FirstComeOrder(), false);
  }

  /**
   * Returns the policies of daemons that know the engines' profiles and each other's work.
   *
   * @param retries the retry budget
   * @param byZone whether daemons send each other immediate updates only about engines of their own
   *     zone
   * @param silentZones the availability zones from which this host receives no messages
   */
  public static Policies engineModel(
      RetryBudget retries, BooleanSupplier byZone, Supplier<Set<String>> silentZones) {
    Placement engines = new EngineModelPlacement(PlacementWeights.DEFAULT);
    return new Policies(
        new ReachableZonePlacement(new OwnZonePlacement(engines, byZone), silentZones),
        new WeightedFairOrder(SHORT_CREDIT),
        new PromptLengthClassifier(SHORT_FRACTION),
        retries,
        MAX_ATTEMPTS,
        () -> true,
        true);
  }

  /** Returns these policies for a host that may temporarily not receive from all other daemons. */
  public Policies withAllHostsReporting(BooleanSupplier allReporting) {
    return new Policies(
        placement, order, lengthClassifier, retries, maxAttempts, allReporting, refuseEarly);
  }

  private static Policies of(Placement placement, QueueOrder order, boolean refuseEarly) {
    return new Policies(
        placement,
        order,
        new PromptLengthClassifier(SHORT_FRACTION),
        new EarnedRetryBudget(RETRY_RATIO, RETRY_RESERVE),
        MAX_ATTEMPTS,
        () -> true,
        refuseEarly);
  }
}
