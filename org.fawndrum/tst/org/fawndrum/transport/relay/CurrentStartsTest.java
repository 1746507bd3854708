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

/** Orders and questions that are meant for an earlier start of an engine. */
class CurrentStartsTest {
  private final List<String> sent = new ArrayList<>();
  private final List<HostIdentity> told = new ArrayList<>();
  private long answering = 1;
  private final IncarnationGuard starts = new IncarnationGuard(new Engine(), told::add);

  /** An engine that takes whatever comes, and says which start it is. */
  private final class Engine implements EngineOrders {
    @Override
    public void hearNotices(EndpointNotices listener) {}

    @Override
    public Future<Boolean> reserve(Endpoint engine, String ticket, long tokens, long holdMs) {
      sent.add("reserve");
      return Future.succeededFuture(true);
    }

    @Override
    public Future<Void> release(Endpoint engine, String ticket) {
      sent.add("release");
      return Future.succeededFuture();
    }

    @Override
    public Future<EngineReport> report(Endpoint engine) {
      return Future.succeededFuture(new EngineReport(answering, 0, Set.of("t")));
    }
  }

  private static Endpoint engine(long start) {
    return new Endpoint(
        new HostIdentity("e-1", start),
        "zone-a",
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", 1),
        Set.of("pool"),
        100_000);
  }

  private void listed(long start) {
    starts.updateListing(new HostListing(1, List.of(engine(start)), Set.of(), List.of()));
  }

  private static void assertRestarted(Future<?> future) {
    assertInstanceOf(EndpointRestartedException.class, future.cause());
  }

  @Test
  void aLeaseIsNotRenewedAtALaterStart() {
    listed(1);
    starts.reserve(engine(1), "t", 10, 10);
    listed(2);
    assertRestarted(starts.reserve(engine(1), "t", 10, 10));
    assertEquals(List.of("reserve"), sent);
    assertTrue(starts.reserve(engine(2), "t", 10, 10).succeeded());
  }

  @Test
  void memoryIsReleasedAlsoAtALaterStart() {
    listed(2);
    starts.release(engine(1), "t");
    assertEquals(List.of("release"), sent);
  }

  @Test
  void theWordOfALaterStartIsNoSignOfLifeOfTheEarlierOne() {
    listed(1);
    assertTrue(starts.report(engine(1)).succeeded());
    answering = 2;
    assertRestarted(starts.report(engine(1)));
    assertEquals(List.of(new HostIdentity("e-1", 2)), told);
    assertRestarted(starts.reserve(engine(1), "t", 10, 10));
  }

  @Test
  void aListThatComesLateChangesNothing() {
    listed(1);
    answering = 2;
    starts.report(engine(1));
    listed(1);
    assertRestarted(starts.reserve(engine(1), "t", 10, 10));
  }

  @Test
  void anOldReportOfAnEarlierStartIsNoNews() {
    listed(2);
    assertTrue(starts.report(engine(2)).succeeded());
    assertEquals(List.of(), told);
  }

  @Test
  void enginesThatDoNotTellTheirStartAreNotCompared() {
    listed(0);
    answering = 5;
    assertTrue(starts.report(engine(0)).succeeded());
    answering = 0;
    assertTrue(starts.report(engine(3)).succeeded());
    assertEquals(List.of(), told);
  }
}
