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

/** Memory on several engines is had wholly or not at all, and never kept. */
class PromptMemoryTest {
  private static final HostIdentity SELF = new HostIdentity("host-1", 1);

  private static final Future<EngineReport> IDLE =
      Future.succeededFuture(new EngineReport(0, 0, Set.of()));

  private final ManualClock clock = new ManualClock();
  private final Orders orders = new Orders();
  private final Timers timers = new Timers();

  /** Timers that a test runs, one after the other, each at its time. */
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

  /** Engines that are answered by hand. */
  private static final class Orders implements EngineOrders {
    final Deque<Promise<Boolean>> asked = new ArrayDeque<>();
    final List<String> engines = new ArrayList<>();
    final List<String> released = new ArrayList<>();
    final Set<String> tickets = new HashSet<>();
    final List<Long> holds = new ArrayList<>();
    final List<String> questioned = new ArrayList<>();
    Set<String> used = Set.of();
    int releasesToFail;

    @Override
    public void hearNotices(EndpointNotices listener) {}

    @Override
    public Future<Boolean> reserve(Endpoint engine, String ticket, long tokens, long holdMs) {
      Promise<Boolean> answer = Promise.promise();
      asked.addLast(answer);
      engines.add(engine.name());
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
      questioned.add(engine.name());
      return Future.succeededFuture(new EngineReport(0, 0, used));
    }

    void grantAll() {
      while (!asked.isEmpty()) {
        asked.removeFirst().complete(true);
      }
    }

    void loseNext() {
      asked.removeFirst().fail(new EndpointUnreachableException(null, null));
    }
  }

  private PromptMemory held(Action.Helper... helpers) {
    PromptMemory memory = memory(1, helpers);
    memory.reserve();
    orders.grantAll();
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
    return new PromptMemory(clock, timers::add, orders, id, List.of(helpers), new HostLog("test"));
  }

  @Test
  void helpersWithoutMemoryNeedNoOrder() {
    PromptMemory memory = memory(1, helper("e-1", 0));
    assertTrue(memory.reserve().succeeded());
    assertEquals("", memory.helpers().get(0).ticket());
    memory.release();
    assertTrue(orders.engines.isEmpty() && orders.released.isEmpty());
  }

  @Test
  void enginesAreAskedOneAfterTheOtherInOneOrder() {
    Future<Void> had = memory(1, helper("e-2", 10), helper("e-1", 10)).reserve();
    assertEquals(List.of("e-1"), orders.engines);
    orders.asked.removeFirst().complete(true);
    assertEquals(List.of("e-1", "e-2"), orders.engines);
    assertFalse(had.isComplete());
    orders.asked.removeFirst().complete(true);
    assertTrue(had.succeeded());
  }

  @Test
  void whenOneEngineHasNotEnoughNothingIsKept() {
    Future<Void> had = memory(1, helper("e-1", 10), helper("e-2", 10)).reserve();
    orders.asked.removeFirst().complete(true);
    orders.asked.removeFirst().complete(false);
    assertTrue(had.failed());
    assertEquals(List.of("e-1", "e-2"), orders.released);
  }

  @Test
  void anOrderWithoutAnAnswerIsTakenBackToo() {
    Future<Void> had = memory(1, helper("e-1", 10)).reserve();
    orders.asked.removeFirst().fail(new EndpointUnreachableException(null, null));
    assertTrue(had.failed());
    assertEquals(List.of("e-1"), orders.released);
  }

  @Test
  void aRequestThatEndsMeanwhileKeepsNothing() {
    PromptMemory memory = memory(1, helper("e-1", 10), helper("e-2", 10));
    Future<Void> had = memory.reserve();
    memory.release();
    orders.asked.removeFirst().complete(true);
    assertTrue(had.failed());
    assertEquals(List.of("e-1"), orders.engines);
    assertEquals(List.of("e-1"), orders.released);
  }

  @Test
  void aReleaseThatFailsIsTriedAgainAndTwiceIsOnce() {
    PromptMemory memory = memory(1, helper("e-1", 10));
    memory.reserve();
    orders.asked.removeFirst().complete(true);
    orders.releasesToFail = 2;
    memory.release();
    memory.release();
    assertEquals(List.of("e-1", "e-1", "e-1"), orders.released);
  }

  @Test
  void noTicketIsUsedTwice() {
    memory(1, helper("e-1", 10)).reserve();
    memory(2, helper("e-1", 10)).reserve();
    PromptMemory two = memory(3, helper("e-1", 10), helper("e-2", 10));
    assertEquals(2, two.helpers().stream().map(RelayCodec.Helper::ticket).distinct().count());
    assertEquals(2, orders.tickets.size());
  }

  @Test
  void timeAloneRenewsNoLease() {
    PromptMemory memory = held(helper("e-1", 10));
    clock.advance(10 * PromptMemory.LEASE_MS);
    assertTrue(memory.isReserved());
    assertEquals(1, orders.engines.size(), "orders without a sign of life");
  }

  @Test
  void signsOfLifeRenewAllLeasesButNotAtEachSign() {
    PromptMemory memory = held(helper("e-1", 10), helper("e-2", 10));
    for (int i = 0; i < 10; i++) {
      clock.advance(PromptMemory.MIN_RENEWAL_MS / 10);
      memory.renewOnEvidence(clock.nowMs());
      orders.grantAll();
    }
    assertEquals(List.of("e-1", "e-2", "e-1", "e-2"), orders.engines);
    assertEquals(PromptMemory.LEASE_MS, orders.holds.get(3));
  }

  @Test
  void aLeaseNeverGoesFurtherBeyondTheSignOfLifeThanItsLength() {
    PromptMemory memory = held(helper("e-1", 10));
    clock.advance(PromptMemory.MIN_RENEWAL_MS);
    long aliveMs = clock.nowMs();
    clock.advance(400);
    memory.renewOnEvidence(aliveMs);
    assertEquals(List.of(PromptMemory.LEASE_MS, PromptMemory.LEASE_MS - 400), orders.holds);
    clock.advance(PromptMemory.LEASE_MS);
    memory.renewOnEvidence(aliveMs + PromptMemory.MIN_RENEWAL_MS - 400);
    assertEquals(2, orders.holds.size(), "an order for a time that is over");
  }

  @Test
  void aRenewalWithoutAnAnswerIsSentAgainWithTheNextSign() {
    PromptMemory memory = held(helper("e-1", 10));
    for (int i = 0; i < 3; i++) {
      clock.advance(PromptMemory.MIN_RENEWAL_MS);
      memory.renewOnEvidence(clock.nowMs());
      orders.loseNext();
      assertTrue(orders.asked.isEmpty(), "sent again at once");
    }
    assertEquals(4, orders.engines.size());
  }

  @Test
  void whatALateOrderMaySetAsideIsReleasedUntilNoneCanBeLate() {
    PromptMemory memory = held(helper("e-1", 10), helper("e-2", 10));
    clock.advance(PromptMemory.MIN_RENEWAL_MS);
    memory.renewOnEvidence(clock.nowMs());
    orders.loseNext();
    orders.grantAll();
    memory.release();
    assertEquals(List.of("e-1", "e-2"), orders.released);
    timers.runAll();
    long again = orders.released.stream().filter("e-1"::equals).count() - 1;
    assertTrue(
        again * PromptMemory.RELEASE_INTERVAL_MS >= PromptMemory.MAX_LATE_MS, "only " + again);
    assertEquals(1, orders.released.stream().filter("e-2"::equals).count());
  }

  @Test
  void theEngineThatDoesNotAnswerIsNamed() {
    PromptMemory memory = memory(1, helper("e-1", 10), helper("e-2", 10));
    Future<Void> had = memory.reserve();
    orders.asked.removeFirst().complete(true);
    orders.loseNext();
    assertTrue(had.failed());
    assertEquals("e-2", memory.unreachable().orElseThrow().host());
  }

  @Test
  void anEngineWithoutRoomIsNotNamed() {
    PromptMemory memory = memory(1, helper("e-1", 10));
    memory.reserve();
    orders.asked.removeFirst().complete(false);
    assertTrue(memory.unreachable().isEmpty());
  }

  @Test
  void aReleaseIsNotOvertakenByTheRenewalBeforeIt() {
    PromptMemory memory = held(helper("e-1", 10));
    clock.advance(PromptMemory.MIN_RENEWAL_MS);
    memory.renewOnEvidence(clock.nowMs());
    memory.release();
    assertTrue(orders.released.isEmpty(), "released while a renewal is on its way");
    orders.asked.removeFirst().complete(true);
    assertEquals(List.of("e-1"), orders.released);
  }

  @Test
  void whatBecameOfTheMemoryIsTold() {
    PromptMemory memory = held(helper("e-1", 10), helper("e-2", 10));
    clock.advance(PromptMemory.MIN_RENEWAL_MS);
    memory.renewOnEvidence(clock.nowMs());
    orders.loseNext();
    orders.grantAll();
    clock.advance(300);
    assertEquals(
        new PromptMemory.Usage(List.of("e-1", "e-2"), PromptMemory.MIN_RENEWAL_MS + 300, 300, 4, 1),
        memory.usage());
  }

  @Test
  void thoseThatHoldTheMemoryAreAskedInTurnWhetherItIsUsed() {
    PromptMemory memory = held(helper("e-1", 10), helper("e-2", 10));
    orders.used = orders.tickets;
    for (int i = 0; i < 3; i++) {
      assertTrue(memory.checkStillUsed(IDLE).succeeded());
    }
    assertEquals(List.of("e-1", "e-2", "e-1"), orders.questioned);
  }

  @Test
  void memoryThatNobodyUsesIsNoEvidence() {
    PromptMemory memory = held(helper("e-1", 10));
    assertInstanceOf(MemoryUnusedException.class, memory.checkStillUsed(IDLE).cause());
  }

  @Test
  void nobodyIsAskedWithoutMemoryOrAfterItsEnd() {
    assertTrue(memory(1, helper("e-1", 0)).checkStillUsed(IDLE).succeeded());
    PromptMemory memory = held(helper("e-1", 10));
    memory.release();
    assertTrue(memory.checkStillUsed(IDLE).succeeded());
    assertTrue(orders.questioned.isEmpty());
  }

  @Test
  void aRenewalThatIsLostAfterTheEndIsNotTriedAgain() {
    PromptMemory memory = held(helper("e-1", 10));
    clock.advance(PromptMemory.MIN_RENEWAL_MS);
    memory.renewOnEvidence(clock.nowMs());
    memory.release();
    orders.loseNext();
    assertTrue(orders.asked.isEmpty());
    assertEquals(List.of("e-1"), orders.released);
  }
}
