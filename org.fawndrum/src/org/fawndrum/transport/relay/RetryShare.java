// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.fawndrum.coordination.RetryBudget;
import org.fawndrum.coordination.WindowRetryBudget;

/** One host's part of the retries that all daemons together are allowed. Immutable. */
final class RetryShare {
  /**
   * The part of the retries allowed to all daemons that they use; the rest is for counting late.
   */
  private static final double RETRY_PART = 0.8;

  /** The fewest daemons among which the retries allowed in any case are shared out. */
  private static final int FEWEST_DAEMONS = 12;

  /** The most of them that a host uses before it heard any other: many may have just started. */
  private static final double RESERVE_UNHEARD = 1;

  /** How many daemons there may be for each that is known: some are cut off or just starting. */
  private static final double DAEMONS_PER_KNOWN = 1.3;

  private final RelayBounds bounds;
  private final IntSupplier others;
  private final BooleanSupplier seeded;

  /**
   * Makes the share of a host.
   *
   * @param bounds what the operators allow
   * @param others how many other daemons are known now
   * @param seeded whether there are seeds besides this host
   */
  RetryShare(RelayBounds bounds, IntSupplier others, BooleanSupplier seeded) {
    this.bounds = bounds;
    this.others = others;
    this.seeded = seeded;
  }

  /** Returns the budget of this host. */
  RetryBudget budget() {
    return new WindowRetryBudget(
        bounds.retryRatio() * RETRY_PART, this::reserve, bounds.retryWindowMs());
  }

  /** Returns this host's part of the retries that all daemons are allowed in any case. */
  private double reserve() {
    int heard = others.getAsInt();
    double known = Math.ceil((heard + 1) * DAEMONS_PER_KNOWN);
    double part = bounds.retrySlack() * RETRY_PART / Math.max(FEWEST_DAEMONS, known);
    boolean unheard = heard == 0 && seeded.getAsBoolean();
    return unheard ? Math.min(RESERVE_UNHEARD, part) : part;
  }
}
