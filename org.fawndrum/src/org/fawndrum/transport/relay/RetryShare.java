// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.fawndrum.coordination.RetryBudget;
import org.fawndrum.coordination.WindowRetryBudget;

/** One host's share of the retries that all daemons together may use. Immutable. */
final class RetryShare {
  /**
   * The fraction of the permitted retries that the daemons use; the remainder covers the delay
   * until retries are counted.
   */
  private static final double USED_FRACTION = 0.8;

  /** Minimum number of daemons among which the fixed retry allowance is divided. */
  private static final int MIN_DAEMONS = 12;

  /**
   * Maximum number of these retries that a host uses before a message of any other daemon arrived:
   * many daemons may have just started.
   */
  private static final double MAX_ALLOWANCE_WITHOUT_PEERS = 1;

  /** Assumed number of daemons per known daemon: some are disconnected or just starting. */
  private static final double DAEMONS_PER_KNOWN = 1.3;

  private final RelayBounds bounds;
  private final IntSupplier otherDaemons;
  private final BooleanSupplier hasSeeds;

  /**
   * Creates the share of a host.
   *
   * @param bounds the limits that operators permit
   * @param otherDaemons the number of other daemons that are known now
   * @param hasSeeds whether there are seeds besides this host
   */
  RetryShare(RelayBounds bounds, IntSupplier otherDaemons, BooleanSupplier hasSeeds) {
    this.bounds = bounds;
    this.otherDaemons = otherDaemons;
    this.hasSeeds = hasSeeds;
  }

  /** Returns the budget of this host. */
  RetryBudget budget() {
    return new WindowRetryBudget(
        bounds.retryRatio() * USED_FRACTION, this::fixedAllowance, bounds.retryWindowMs());
  }

  /** Returns this host's share of the fixed retry allowance of all daemons. */
  private double fixedAllowance() {
    int knownPeers = otherDaemons.getAsInt();
    double assumedDaemons = Math.ceil((knownPeers + 1) * DAEMONS_PER_KNOWN);
    double share = bounds.retrySlack() * USED_FRACTION / Math.max(MIN_DAEMONS, assumedDaemons);
    boolean withoutPeers = knownPeers == 0 && hasSeeds.getAsBoolean();
    return withoutPeers ? Math.min(MAX_ALLOWANCE_WITHOUT_PEERS, share) : share;
  }
}
