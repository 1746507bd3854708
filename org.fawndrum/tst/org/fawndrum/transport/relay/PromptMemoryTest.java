// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.errors.EndpointUnreachableException;
import org.fawndrum.errors.MemoryUnusedException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** Memory on several engines is reserved completely or not at all, and always released. */
class PromptMemoryTest {
  private static final HostIdentity SELF = new HostIdentity("host-1", 1);

  private static final Future<EngineReport> IDLE =
      Future.succeededFuture(new EngineReport(0, 0, Set.of()));

  private final ManualClock clock = new ManualClock();
  private final ManualEngineControl engineControl = new ManualEngineControl();
  private final Timers timers = new Timers();

  /** Timers that a test runs one after the other, each at its time. */
  private final class Timers {
    private final Deque<Runnable> steps = new ArrayDeque<>();
    private final Deque<Long> waits = new ArrayDeque<>();

    void add(long ms, Runnable step) {
      waits.addLast(ms);
      steps.addLast(step);
    }

    void runAll() {
      while (!steps.isEmpty()) {
        clock.advance(waits.removeFirst());
        steps.removeFirst().run();
      }
    }
  }

  /** Engines whose answers the test provides. */
  private static final class ManualEngineControl implements EngineControl {
    final Deque<Promise<Boolean>> pendingReserves = new ArrayDeque<>();
    final List<String> reservedEngines = new ArrayList<>();
    final List<String> released = new ArrayList<>();
    final Set<String> tickets = new HashSet<>();
    final List<Long> holds = new ArrayList<>();
    final List<String> probedEngines = new ArrayList<>();
    Set<String> ticketsInUse = Set.of();
    int releasesToFail;

    @Override
    public void setPaths(EndpointRequests paths) {}

    @Override
    public void setNoticeListener(EndpointNoticeListener listener) {}

    @Override
    public Future<Boolean> reserve(Endpoint engine, String ticket, long tokens, long holdMs) {
      Promise<Boolean> answer = Promise.promise();
      pendingReserves.addLast(answer);
      reservedEngines.add(engine.name());
      tickets.add(ticket);
      holds.add(holdMs);
      return answer.future();
    }

    @Override
    public Future<Void> release(Endpoint engine, String ticket) {
      released.add(engine.name());
      if (releasesToFail > 0) {
        releasesToFail--;
        return Future.failedFuture(new EndpointUnreachableException(engine.address(), null));
      }
      return Future.succeededFuture();
    }

    @Override
    public Future<EngineReport> report(Endpoint engine) {
      probedEngines.add(engine.name());
      return Future.succeededFuture(new EngineReport(0, 0, ticketsInUse));
    }

    void grantAll() {
      while (!pendingReserves.isEmpty()) {
        pendingReserves.removeFirst().complete(true);
      }
    }

    void failNext() {
      pendingReserves.removeFirst().fail(new EndpointUnreachableException(null, null));
    }
  }

  private PromptMemory reserved(Action.Helper... helpers) {
    PromptMemory memory = memory(1, helpers);
    memory.reserve();
    engineControl.grantAll();
    return memory;
  }

  private static Action.Helper helper(String name, long tokens) {
    HostAddress address = new HostAddress("127.0.0.1", 1);
    Endpoint engine =
        new Endpoint(
            new HostIdentity(name, 0), "a", EndpointKind.MODEL, address, Set.of("pool"), 100);
    return new Action.Helper(engine, tokens);
  }

  private PromptMemory memory(int attempt, Action.Helper... helpers) {
    AttemptId id = new AttemptId(SELF, "r-1", attempt);
    return new PromptMemory(
        clock, timers::add, engineControl, id, List.of(helpers), new HostLog("test"));
  }

  @Test
  void helpersWithoutMemoryAreNotReserved() {
    PromptMemory memory = memory(1, helper("e-1", 0));
    assertTrue(memory.reserve().succeeded());
    assertEquals("", memory.helpers().get(0).ticket());
    memory.release();
    assertTrue(engineControl.reservedEngines.isEmpty() && engineControl.released.isEmpty());
  }

  @Test
  void enginesAreReservedSequentiallyByName() {
    Future<Void> reservation = memory(1, helper("e-2", 10), helper("e-1", 10)).reserve();
    assertEquals(List.of("e-1"), engineControl.reservedEngines);
    engineControl.pendingReserves.removeFirst().complete(true);
    assertEquals(List.of("e-1", "e-2"), engineControl.reservedEngines);
    assertFalse(reservation.isComplete());
    engineControl.pendingReserves.removeFirst().complete(true);
    assertTrue(reservation.succeeded());
  }

  @Test
  void nothingIsKeptIfOneEngineLacksMemory() {
    Future<Void> reservation = memory(1, helper("e-1", 10), helper("e-2", 10)).reserve();
    engineControl.pendingReserves.removeFirst().complete(true);
    engineControl.pendingReserves.removeFirst().complete(false);
    assertTrue(reservation.failed());
    assertEquals(List.of("e-1", "e-2"), engineControl.released);
  }

  @Test
  void unansweredReserveIsReleased() {
    Future<Void> reservation = memory(1, helper("e-1", 10)).reserve();
    engineControl.pendingReserves.removeFirst().fail(new EndpointUnreachableException(null, null));
    assertTrue(reservation.failed());
    assertEquals(List.of("e-1"), engineControl.released);
  }

  @Test
  void requestCompletedMeanwhileKeepsNothing() {
    PromptMemory memory = memory(1, helper("e-1", 10), helper("e-2", 10));
    Future<Void> reservation = memory.reserve();
    memory.release();
    engineControl.pendingReserves.removeFirst().complete(true);
    assertTrue(reservation.failed());
    assertEquals(List.of("e-1"), engineControl.reservedEngines);
    assertEquals(List.of("e-1"), engineControl.released);
  }

  @Test
  void failedReleaseIsRetriedAndReleaseIsIdempotent() {
    PromptMemory memory = memory(1, helper("e-1", 10));
    memory.reserve();
    engineControl.pendingReserves.removeFirst().complete(true);
    engineControl.releasesToFail = 2;
    memory.release();
    memory.release();
    assertEquals(List.of("e-1", "e-1", "e-1"), engineControl.released);
  }

  @Test
  void ticketsAreUnique() {
    memory(1, helper("e-1", 10)).reserve();
    memory(2, helper("e-1", 10)).reserve();
    PromptMemory third = memory(3, helper("e-1", 10), helper("e-2", 10));
    assertEquals(2, third.helpers().stream().map(RelayCodec.Helper::ticket).distinct().count());
    assertEquals(2, engineControl.tickets.size());
  }

  @Test
  void elapsedTimeRenewsNoLease() {
    PromptMemory memory = reserved(helper("e-1", 10));
    clock.advance(10 * PromptMemory.LEASE_MS);
    assertTrue(memory.isReserved());
    assertEquals(1, engineControl.reservedEngines.size(), "reserved again without evidence");
  }

  @Test
  void evidenceRenewsAllLeasesAtALimitedRate() {
    PromptMemory memory = reserved(helper("e-1", 10), helper("e-2", 10));
    for (int i = 0; i < 10; i++) {
      clock.advance(PromptMemory.MIN_RENEWAL_MS / 10);
      memory.renewOnEvidence(clock.nowMs());
      engineControl.grantAll();
    }
    assertEquals(List.of("e-1", "e-2", "e-1", "e-2"), engineControl.reservedEngines);
    assertEquals(PromptMemory.LEASE_MS, engineControl.holds.get(3));
  }

  @Test
  void leaseDurationCountsFromTheEvidence() {
    PromptMemory memory = reserved(helper("e-1", 10));
    clock.advance(PromptMemory.MIN_RENEWAL_MS);
    long aliveMs = clock.nowMs();
    clock.advance(400);
    memory.renewOnEvidence(aliveMs);
    assertEquals(List.of(PromptMemory.LEASE_MS, PromptMemory.LEASE_MS - 400), engineControl.holds);
    clock.advance(PromptMemory.LEASE_MS);
    memory.renewOnEvidence(aliveMs + PromptMemory.MIN_RENEWAL_MS - 400);
    assertEquals(2, engineControl.holds.size(), "renewed for a time that has passed");
  }

  @Test
  void unansweredRenewalIsRepeatedWithTheNextEvidence() {
    PromptMemory memory = reserved(helper("e-1", 10));
    for (int i = 0; i < 3; i++) {
      clock.advance(PromptMemory.MIN_RENEWAL_MS);
      memory.renewOnEvidence(clock.nowMs());
      engineControl.failNext();
      assertTrue(engineControl.pendingReserves.isEmpty(), "sent again at once");
    }
    assertEquals(4, engineControl.reservedEngines.size());
  }

  @Test
  void lateReservesAreReleasedUntilNoneCanTakeEffect() {
    PromptMemory memory = reserved(helper("e-1", 10), helper("e-2", 10));
    clock.advance(PromptMemory.MIN_RENEWAL_MS);
    memory.renewOnEvidence(clock.nowMs());
    engineControl.failNext();
    engineControl.grantAll();
    memory.release();
    assertEquals(List.of("e-1", "e-2"), engineControl.released);
    timers.runAll();
    long laterReleases = engineControl.released.stream().filter("e-1"::equals).count() - 1;
    assertTrue(
        laterReleases * PromptMemory.RELEASE_INTERVAL_MS >= PromptMemory.MAX_LATE_MS,
        "only " + laterReleases);
    assertEquals(1, engineControl.released.stream().filter("e-2"::equals).count());
  }

  @Test
  void unresponsiveEngineIsReported() {
    PromptMemory memory = memory(1, helper("e-1", 10), helper("e-2", 10));
    Future<Void> reservation = memory.reserve();
    engineControl.pendingReserves.removeFirst().complete(true);
    engineControl.failNext();
    assertTrue(reservation.failed());
    assertEquals("e-2", memory.unreachable().orElseThrow().host());
  }

  @Test
  void engineWithoutFreeMemoryIsNotReported() {
    PromptMemory memory = memory(1, helper("e-1", 10));
    memory.reserve();
    engineControl.pendingReserves.removeFirst().complete(false);
    assertTrue(memory.unreachable().isEmpty());
  }

  @Test
  void releaseWaitsForThePendingRenewal() {
    PromptMemory memory = reserved(helper("e-1", 10));
    clock.advance(PromptMemory.MIN_RENEWAL_MS);
    memory.renewOnEvidence(clock.nowMs());
    memory.release();
    assertTrue(engineControl.released.isEmpty(), "released while a renewal is pending");
    engineControl.pendingReserves.removeFirst().complete(true);
    assertEquals(List.of("e-1"), engineControl.released);
  }

  @Test
  void usageReportsTheHistory() {
    PromptMemory memory = reserved(helper("e-1", 10), helper("e-2", 10));
    clock.advance(PromptMemory.MIN_RENEWAL_MS);
    memory.renewOnEvidence(clock.nowMs());
    engineControl.failNext();
    engineControl.grantAll();
    clock.advance(300);
    assertEquals(
        new PromptMemory.Usage(List.of("e-1", "e-2"), PromptMemory.MIN_RENEWAL_MS + 300, 300, 4, 1),
        memory.usage());
  }

  @Test
  void helpersAreProbedInTurn() {
    PromptMemory memory = reserved(helper("e-1", 10), helper("e-2", 10));
    engineControl.ticketsInUse = engineControl.tickets;
    for (int i = 0; i < 3; i++) {
      assertTrue(memory.checkStillUsed(IDLE).succeeded());
    }
    assertEquals(List.of("e-1", "e-2", "e-1"), engineControl.probedEngines);
  }

  @Test
  void unusedMemoryIsNoEvidence() {
    PromptMemory memory = reserved(helper("e-1", 10));
    assertInstanceOf(MemoryUnusedException.class, memory.checkStillUsed(IDLE).cause());
  }

  @Test
  void helpersAreNotProbedWithoutMemoryOrAfterRelease() {
    assertTrue(memory(1, helper("e-1", 0)).checkStillUsed(IDLE).succeeded());
    PromptMemory memory = reserved(helper("e-1", 10));
    memory.release();
    assertTrue(memory.checkStillUsed(IDLE).succeeded());
    assertTrue(engineControl.probedEngines.isEmpty());
  }

  @Test
  void renewalLostAfterReleaseIsNotRepeated() {
    PromptMemory memory = reserved(helper("e-1", 10));
    clock.advance(PromptMemory.MIN_RENEWAL_MS);
    memory.renewOnEvidence(clock.nowMs());
    memory.release();
    engineControl.failNext();
    assertTrue(engineControl.pendingReserves.isEmpty());
    assertEquals(List.of("e-1"), engineControl.released);
  }
}
