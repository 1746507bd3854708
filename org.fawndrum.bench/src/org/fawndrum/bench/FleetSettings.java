// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.bench;

import org.fawndrum.standin.EngineModel;

/**
 * The simulated fleet on which a policy is measured.
 *
 * @param zones number of availability zones
 * @param hosts number of entry hosts in all zones
 * @param engines number of model engines in all zones
 * @param engine the capacity of each engine
 * @param reportEveryMs interval of an engine's load reports, in milliseconds
 * @param reportLagMs age of a load report when it reaches the hosts, in milliseconds
 * @param engineCrashMs when an engine crashes, in milliseconds; -1 for never
 * @param partitionStartMs when one zone is partitioned from the others, in milliseconds; -1 for
 *     never
 * @param partitionEndMs when the partition ends, in milliseconds
 */
public record FleetSettings(
    int zones,
    int hosts,
    int engines,
    EngineModel.Settings engine,
    long reportEveryMs,
    long reportLagMs,
    long engineCrashMs,
    long partitionStartMs,
    long partitionEndMs) {
  private static final long MEMORY = 450_000;
  private static final int STEP_TOKENS = 1_024;
  private static final long STEP_MS = 25;

  /** Returns a fleet of the present size: 3 zones, 6 hosts, 18 engines. */
  public static FleetSettings baseline() {
    EngineModel.Settings engine = new EngineModel.Settings(MEMORY, STEP_TOKENS, STEP_MS);
    return new FleetSettings(3, 6, 18, engine, 200, 100, -1, -1, -1);
  }

  /** Returns this fleet with a crashed engine and a partitioned zone in the middle of a run. */
  public FleetSettings withFaults(long runMs) {
    return new FleetSettings(
        zones,
        hosts,
        engines,
        engine,
        reportEveryMs,
        reportLagMs,
        runMs / 3,
        runMs / 2,
        runMs * 2 / 3);
  }

  /** Returns the prefill rate of all engines together, in tokens per second. */
  public double tokensPerSecond() {
    return (double) engines * engine.tokensPerSecond();
  }
}
