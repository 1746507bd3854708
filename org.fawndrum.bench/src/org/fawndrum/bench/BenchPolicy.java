// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.bench;

import java.util.List;
import java.util.function.Supplier;
import org.fawndrum.coordination.Policies;

/** A policy to measure; each host gets an instance of its own from the factory. */
record BenchPolicy(String name, Supplier<Policies> factory) {
  static final List<BenchPolicy> ALL =
      List.of(
          new BenchPolicy("first-come-round-robin", Policies::firstComeRoundRobin),
          new BenchPolicy("first-come-least-in-flight", Policies::firstComeLeastInFlight),
          new BenchPolicy("standard", Policies::standard));
}
