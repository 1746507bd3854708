// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Cell;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.EntryHost;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.TableRevision;
import org.fawndrum.state.TableRevisionBuilder;

/** The hosts of one listing together admit no more than the table's limits. */
class LimitFractionsTest {
  private static final HostAddress ADDRESS = new HostAddress("127.0.0.1", 1);
  private static final CallerGroup GROUP = new CallerGroup("w", "c");
  private static final long PER_SECOND = 120;
  private static final int SECONDS = 20;

  private static HostListing listing(Random random) {
    List<EntryHost> hosts = new ArrayList<>();
    int count = 1 + random.nextInt(9);
    for (int i = 0; i < count; i++) {
      hosts.add(new EntryHost("h" + i, "z" + random.nextInt(3), ADDRESS));
    }
    Endpoint engine =
        new Endpoint(
            new HostIdentity("e", 1), "z0", EndpointKind.MODEL, ADDRESS, Set.of("m"), 1_000_000);
    return new HostListing(1, List.of(engine), Set.of(), hosts);
  }

  @Property(tries = 200, seed = "96")
  void fractionsAddUpToOne(@ForAll long seed) {
    HostListing listing = listing(new Random(seed));
    double sum = 0;
    for (EntryHost host : listing.entryHosts()) {
      sum += LimitFractions.fraction(new HostIdentity(host.name(), 1), host.zone(), listing);
    }
    assertEquals(1.0, sum, 1e-9);
  }

  @Property(tries = 100, seed = "97")
  void allHostsTogetherStayWithinTheLimit(@ForAll long seed) {
    HostListing listing = listing(new Random(seed));
    TableRevision table =
        new TableRevisionBuilder(0, 0)
            .cell(
                new CellKey(GROUP, Column.REQUESTS_PER_SECOND),
                new Cell(Long.toString(PER_SECOND), 0, "ana"))
            .build();
    int admitted = 0;
    for (EntryHost host : listing.entryHosts()) {
      HostIdentity self = new HostIdentity(host.name(), 1);
      RequestCoordinator coordinator =
          new RequestCoordinator(self, host.zone(), Policies.firstComeRoundRobin());
      coordinator.updateTable(table, 0);
      coordinator.updateEndpoints(listing.endpoints(), 0);
      coordinator.updateLimitFraction(LimitFractions.fraction(self, host.zone(), listing), 0);
      admitted += flood(coordinator);
    }
    // Each host starts with a burst of two seconds of its fraction, and at least one request.
    long maxAdmitted = PER_SECOND * (SECONDS + 2) + 2L * listing.entryHosts().size();
    assertTrue(admitted <= maxAdmitted, admitted + " admitted, at most " + maxAdmitted);
  }

  private static int flood(RequestCoordinator coordinator) {
    int admitted = 0;
    for (long nowMs = 0; nowMs < SECONDS * 1_000; nowMs += 5) {
      RequestFacts facts =
          new RequestFacts(
              "r" + nowMs,
              GROUP,
              new RequestTarget(EndpointKind.MODEL, "m"),
              10,
              1,
              nowMs,
              0,
              true,
              List.of());
      for (Action action : coordinator.arrive(facts, nowMs)) {
        if (action instanceof Action.Send send) {
          admitted++;
          coordinator.attemptEvent(send.attempt(), AttemptEvent.ANSWERED, nowMs);
        }
      }
    }
    return admitted;
  }
}
