// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.fawndrum.errors.EndpointRestartedException;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.junit.jupiter.api.Test;

/** Requests that are meant for a previous incarnation of an engine. */
class IncarnationGuardTest {
  private final List<String> sentCommands = new ArrayList<>();
  private final List<HostIdentity> restarts = new ArrayList<>();
  private long reportedIncarnation = 1;
  private final IncarnationGuard guard = new IncarnationGuard(new Engine(), restarts::add);

  /** An engine that accepts all requests and reports its incarnation. */
  private final class Engine implements EngineControl {
    @Override
    public void setPaths(EndpointRequests paths) {}

    @Override
    public void setNoticeListener(EndpointNoticeListener listener) {}

    @Override
    public Future<Boolean> reserve(Endpoint engine, String ticket, long tokens, long holdMs) {
      sentCommands.add("reserve");
      return Future.succeededFuture(true);
    }

    @Override
    public Future<Void> release(Endpoint engine, String ticket) {
      sentCommands.add("release");
      return Future.succeededFuture();
    }

    @Override
    public Future<EngineReport> report(Endpoint engine) {
      return Future.succeededFuture(new EngineReport(reportedIncarnation, 0, Set.of("t")));
    }
  }

  private static Endpoint engine(long incarnation) {
    return new Endpoint(
        new HostIdentity("e-1", incarnation),
        "zone-a",
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", 1),
        Set.of("pool"),
        100_000);
  }

  private void applyListing(long incarnation) {
    guard.updateListing(new HostListing(1, List.of(engine(incarnation)), Set.of(), List.of()));
  }

  private static void assertRestarted(Future<?> future) {
    assertInstanceOf(EndpointRestartedException.class, future.cause());
  }

  @Test
  void leaseIsNotRenewedOnALaterIncarnation() {
    applyListing(1);
    guard.reserve(engine(1), "t", 10, 10);
    applyListing(2);
    assertRestarted(guard.reserve(engine(1), "t", 10, 10));
    assertEquals(List.of("reserve"), sentCommands);
    assertTrue(guard.reserve(engine(2), "t", 10, 10).succeeded());
  }

  @Test
  void memoryIsReleasedOnALaterIncarnationToo() {
    applyListing(2);
    guard.release(engine(1), "t");
    assertEquals(List.of("release"), sentCommands);
  }

  @Test
  void reportOfALaterIncarnationIsNoSignOfLifeOfThePreviousOne() {
    applyListing(1);
    assertTrue(guard.report(engine(1)).succeeded());
    reportedIncarnation = 2;
    assertRestarted(guard.report(engine(1)));
    assertEquals(List.of(new HostIdentity("e-1", 2)), restarts);
    assertRestarted(guard.reserve(engine(1), "t", 10, 10));
  }

  @Test
  void outdatedListingIsIgnored() {
    applyListing(1);
    reportedIncarnation = 2;
    guard.report(engine(1));
    applyListing(1);
    assertRestarted(guard.reserve(engine(1), "t", 10, 10));
  }

  @Test
  void knownIncarnationInAReportIsNoRestart() {
    applyListing(2);
    assertTrue(guard.report(engine(2)).succeeded());
    assertEquals(List.of(), restarts);
  }

  @Test
  void unknownIncarnationsAreNotCompared() {
    applyListing(0);
    reportedIncarnation = 5;
    assertTrue(guard.report(engine(0)).succeeded());
    reportedIncarnation = 0;
    assertTrue(guard.report(engine(3)).succeeded());
    assertEquals(List.of(), restarts);
  }
}
