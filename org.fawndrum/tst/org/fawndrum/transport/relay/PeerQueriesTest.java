// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fawndrum.transport.relay.SimulatedStore.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * While the store served nobody in time, all hosts of a large site asked six others four times a
 * second for what none of them had, and so took the processor time that they needed to recover. In
 * simulated time.
 */
class PeerQueriesTest {
  private static final RelayBounds BOUNDS =
      new RelayBounds(true, 5_000, 2_000, 2_000, 8_000, 0.2, 100, 10_000, 120);

  private static final int ZONE_HOSTS = 12;
  private static final int HOSTS = 3 * ZONE_HOSTS;

  /** Time for a host to find one that knows more: the bound of a configuration. */
  private static final long FIND_MS = 2 * BOUNDS.applyMs();

  private static final int COUNTED_S = 10;

  /** Six others a second, and the zone leader twice. */
  private static final int MAX_QUERIES_PER_SECOND = 8;

  private static int queries(SimulatedSite site) {
    return site.hosts().stream().mapToInt(SimulatedHost::requestCount).sum();
  }

  @ParameterizedTest
  @EnumSource(
      value = Path.class,
      names = {"SILENT", "ANSWERS_LOST", "RESET", "BUSY"})
  void hostsAskOthersLessOftenIfNobodyKnowsMore(Path fault) {
    SimulatedSite site = new SimulatedSite(1, BOUNDS, ZONE_HOSTS, ZONE_HOSTS, ZONE_HOSTS);
    site.hosts().forEach(host -> host.store().path(fault));
    site.time().elapse(BOUNDS.applyMs() + FIND_MS);
    int before = queries(site);
    site.time().elapse(COUNTED_S * 1_000);
    int counted = queries(site) - before;
    int allowed = HOSTS * COUNTED_S * MAX_QUERIES_PER_SECOND;
    assertTrue(counted <= allowed, counted + " queries, " + allowed + " allowed");
  }
}
