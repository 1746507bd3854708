// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.EarnedRetryBudget;
import org.fawndrum.coordination.Policies;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.RequestTarget;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Cell;
import org.fawndrum.state.Column;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.EngineProfile;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.LatencyTargets;
import org.fawndrum.state.Row;
import org.fawndrum.state.TableRevisionBuilder;
import org.junit.jupiter.api.Test;

/** Which engines prompts of different lengths are sent to. */
class EngineModelPlacementTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final HostIdentity SELF = new HostIdentity("host-1", 1);
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final LatencyTargets SHORT_TARGETS = new LatencyTargets(300, 250, 2);
  private static final LatencyTargets LONG_TARGETS = new LatencyTargets(2_500, 1_000, 2);

  private boolean byZone;
  private Set<String> silentZones = Set.of();
  private final RequestCoordinator coordinator =
      new RequestCoordinator(
          SELF,
          "zone-a",
          Policies.engineModel(new EarnedRetryBudget(0.1, 10), () -> byZone, () -> silentZones));
  private int nextRequest;

  EngineModelPlacementTest() {
    Row row = Row.EMPTY.with(Column.DEADLINE_MS, new Cell("15000", 0, "ana"));
    coordinator.updateTable(new TableRevisionBuilder(0, 0).row(GROUP, row).build(), 0);
  }

  private void engines(int count) {
    engines(count, 0);
  }

  /** Adds engines; the first of them are in another zone. */
  private void engines(int count, int elsewhere) {
    List<Endpoint> engines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      engines.add(
          new Endpoint(
              new HostIdentity("engine-" + i, 0),
              i < elsewhere ? "zone-b" : "zone-a",
              EndpointKind.MODEL,
              new HostAddress("127.0.0.1", 9_000 + i),
              Set.of("pool"),
              PROFILE.memoryTokens(),
              Optional.of(PROFILE)));
    }
    coordinator.updateEndpoints(engines, 0);
  }

  private Optional<Action.Send> sendRequest(long promptTokens, LatencyTargets targets, long nowMs) {
    RequestFacts facts =
        new RequestFacts(
            "r-" + nextRequest++,
            GROUP,
            new RequestTarget(EndpointKind.MODEL, "pool"),
            promptTokens,
            1_000,
            nowMs,
            0,
            true,
            List.of(),
            targets);
    return sends(coordinator.arrive(facts, nowMs)).stream().findFirst();
  }

  private void firstToken(Action.Send send, long nowMs) {
    coordinator.attemptEvent(send.attempt(), AttemptEvent.ANSWERING, nowMs);
  }

  @Test
  void shortAndLongPromptsUseDifferentEngines() {
    engines(6);
    Action.Send first = sendRequest(5_000, SHORT_TARGETS, 0).orElseThrow();
    firstToken(first, 80);
    Action.Send longPrompt = sendRequest(120_000, LONG_TARGETS, 100).orElseThrow();
    assertNotEquals(first.endpoint(), longPrompt.endpoint());
    Action.Send second = sendRequest(5_000, SHORT_TARGETS, 120).orElseThrow();
    assertNotEquals(longPrompt.endpoint(), second.endpoint());
  }

  @Test
  void ownZoneIsPreferredInLargeFleets() {
    byZone = true;
    engines(6, 4);
    for (int i = 0; i < 2 * PROFILE.slots(); i++) {
      assertEquals("zone-a", sendRequest(1_000, SHORT_TARGETS, i).orElseThrow().endpoint().zone());
    }
    assertEquals("zone-b", sendRequest(1_000, SHORT_TARGETS, 100).orElseThrow().endpoint().zone());
  }

  @Test
  void largeFleetsUseOtherZonesForAZoneWithoutEngines() {
    byZone = true;
    engines(3, 3);
    assertEquals("zone-b", sendRequest(1_000, SHORT_TARGETS, 0).orElseThrow().endpoint().zone());
  }

  @Test
  void silentZoneDoesNotShareAPrefill() {
    engines(8, 4);
    silentZones = Set.of("zone-b");
    Action.Send send = sendRequest(200_000, LONG_TARGETS, 0).orElseThrow();
    assertEquals("zone-a", send.endpoint().zone());
    assertEquals(3, send.helpers().size());
    assertTrue(
        send.helpers().stream().allMatch(helper -> helper.endpoint().zone().equals("zone-a")));
  }

  @Test
  void silentZoneServesIfThereIsNoOtherEngine() {
    engines(3, 3);
    silentZones = Set.of("zone-b");
    assertEquals("zone-b", sendRequest(1_000, SHORT_TARGETS, 0).orElseThrow().endpoint().zone());
  }

  @Test
  void updatesNameTheZoneOfTheirEndpoint() {
    engines(1, 1);
    Action.Send send = sendRequest(1_000, SHORT_TARGETS, 0).orElseThrow();
    List<Action> afterFirstToken =
        coordinator.attemptEvent(send.attempt(), AttemptEvent.ANSWERING, 50);
    List<Action> afterCompletion =
        coordinator.attemptEvent(send.attempt(), AttemptEvent.ANSWERED, 90);
    assertEquals(List.of("zone-b"), broadcastZones(afterFirstToken));
    assertEquals(List.of("zone-b"), broadcastZones(afterCompletion));
  }

  private static List<String> broadcastZones(List<Action> actions) {
    return actions.stream()
        .filter(action -> action instanceof Action.BroadcastWork)
        .map(action -> ((Action.BroadcastWork) action).zone())
        .toList();
  }

  @Test
  void promptTooLongForOneEngineIsShared() {
    engines(8);
    Action.Send send = sendRequest(200_000, LONG_TARGETS, 0).orElseThrow();
    assertTrue(send.helpers().size() >= 1, "helpers " + send.helpers());
    assertTrue(send.helpers().stream().allMatch(helper -> helper.memoryTokens() == 0));
  }

  @Test
  void promptLargerThanOneEngineReservesMemoryOnHelpers() {
    engines(8);
    Action.Send send = sendRequest(400_000, LONG_TARGETS, 0).orElseThrow();
    long elsewhere = send.helpers().stream().mapToLong(Action.Helper::memoryTokens).sum();
    assertTrue(401_000 - elsewhere <= PROFILE.memoryTokens(), "elsewhere " + elsewhere);
  }

  @Test
  void fullEngineGetsNoMoreRequests() {
    engines(1);
    for (int i = 0; i < PROFILE.slots(); i++) {
      assertTrue(sendRequest(1_000, SHORT_TARGETS, 0).isPresent());
    }
    assertTrue(sendRequest(1_000, SHORT_TARGETS, 0).isEmpty());
    assertEquals(1, coordinator.waitingCount());
  }

  @Test
  void jobsOfOtherDaemonsAreCounted() {
    engines(2);
    HostIdentity busy = sendRequest(5_000, SHORT_TARGETS, 0).orElseThrow().endpoint().identity();
    HostIdentity other = new HostIdentity("host-2", 1);
    EngineJob job = new EngineJob(1, busy, 200_000, 201_000, 1, true, LONG_TARGETS, 10);
    List<EngineUpdate> updates = List.of(new EngineUpdate.Placed(job));
    FleetReport report = new FleetReport(other, Optional.empty(), 1, "zone-a", false, updates);
    coordinator.peerWorkReported(List.of(report), 10);
    assertNotEquals(
        busy, sendRequest(5_000, SHORT_TARGETS, 20).orElseThrow().endpoint().identity());
    coordinator.daemonRemoved(other, 30);
    assertEquals(busy, sendRequest(5_000, SHORT_TARGETS, 40).orElseThrow().endpoint().identity());
  }

  @Test
  void failedHelperIsExcludedAndTheFirstEngineIsNotBlamed() {
    engines(8);
    Action.Send send = sendRequest(400_000, LONG_TARGETS, 0).orElseThrow();
    HostIdentity atFault = send.helpers().get(0).endpoint().identity();
    coordinator.helperRefused(send.attempt(), atFault, 5);
    Action.Send again =
        coordinator.attemptEvent(send.attempt(), AttemptEvent.REFUSED_BY_ENDPOINT, 5).stream()
            .filter(action -> action instanceof Action.Send)
            .map(action -> (Action.Send) action)
            .findFirst()
            .orElseThrow();
    assertTrue(
        again.helpers().stream().noneMatch(helper -> helper.endpoint().identity().equals(atFault)));
    assertNotEquals(atFault, again.endpoint().identity());
    assertEquals(send.endpoint(), again.endpoint());
    // During its prefill, another prompt of its length would wait.
    coordinator.attemptEvent(again.attempt(), AttemptEvent.ANSWERED, 8);
    Action.Send other = sendRequest(400_000, LONG_TARGETS, 10).orElseThrow();
    assertTrue(
        other.helpers().stream().noneMatch(helper -> helper.endpoint().identity().equals(atFault)));
  }

  @Test
  void shortPromptsArePackedAndLeaveTheLastSlotFree() {
    engines(6);
    Set<HostIdentity> used = new HashSet<>();
    for (int i = 0; i < PROFILE.slots() - 1; i++) {
      Action.Send send = sendRequest(1_000, SHORT_TARGETS, 200 * i).orElseThrow();
      firstToken(send, 200 * i + 60);
      used.add(send.endpoint().identity());
    }
    assertEquals(1, used.size());
    Action.Send last = sendRequest(1_000, SHORT_TARGETS, 3_000).orElseThrow();
    assertFalse(used.contains(last.endpoint().identity()));
  }

  @Test
  void longPromptIsSharedByAllEnginesWithoutStreams() {
    engines(8);
    firstToken(sendRequest(1_000, SHORT_TARGETS, 0).orElseThrow(), 60);
    Action.Send send = sendRequest(200_000, LONG_TARGETS, 100).orElseThrow();
    assertEquals(6, send.helpers().size());
  }

  @Test
  void longAnswersShareADecodingEngine() {
    engines(8);
    Action.Send first = sendRequest(90_000, LONG_TARGETS, 0).orElseThrow();
    firstToken(first, 200);
    Action.Send second = sendRequest(90_000, LONG_TARGETS, 300).orElseThrow();
    assertEquals(first.endpoint(), second.endpoint());
    firstToken(second, 500);
    // Two such prompts fill the memory of an engine.
    Action.Send third = sendRequest(90_000, LONG_TARGETS, 600).orElseThrow();
    assertNotEquals(first.endpoint(), third.endpoint());
  }

  @Test
  void promptWaitsForThePrefillOfAnOlderOne() {
    engines(8);
    Action.Send older = sendRequest(400_000, LONG_TARGETS, 0).orElseThrow();
    assertTrue(sendRequest(400_000, LONG_TARGETS, 100).isEmpty());
    assertEquals(1, coordinator.waitingCount());
    firstToken(older, 1_900);
    coordinator.attemptEvent(older.attempt(), AttemptEvent.ANSWERED, 1_950);
    coordinator.tick(2_000);
    assertEquals(0, coordinator.waitingCount());
  }

  /** Each number is a step: a prompt of some length, or the completion of the oldest one. */
  @Property(seed = "7", tries = 200)
  void noEngineExceedsItsSlotsOrIsChosenTwice(
      @ForAll @Size(max = 80) List<@IntRange(min = 0, max = 9) Integer> steps) {
    engines(5);
    List<Action.Send> open = new ArrayList<>();
    long nowMs = 0;
    for (int step : steps) {
      nowMs += 15;
      if (step == 0 && !open.isEmpty()) {
        Action.Send oldest = open.remove(0);
        open.addAll(
            sends(coordinator.attemptEvent(oldest.attempt(), AttemptEvent.ANSWERED, nowMs)));
      } else {
        sendRequest(1L << (9 + step), step < 5 ? SHORT_TARGETS : LONG_TARGETS, nowMs)
            .ifPresent(open::add);
      }
      open.addAll(sends(coordinator.tick(nowMs)));
      for (Action.Send send : open) {
        HostIdentity decoder = send.endpoint().identity();
        long there = open.stream().filter(other -> decoder.equals(identity(other))).count();
        assertTrue(there <= PROFILE.slots(), there + " at " + decoder);
        Set<HostIdentity> participants = new HashSet<>();
        participants.add(decoder);
        send.helpers().forEach(helper -> participants.add(helper.endpoint().identity()));
        assertEquals(1 + send.helpers().size(), participants.size());
      }
    }
  }

  private static HostIdentity identity(Action.Send send) {
    return send.endpoint().identity();
  }

  private static List<Action.Send> sends(List<Action> actions) {
    return actions.stream()
        .filter(action -> action instanceof Action.Send)
        .map(action -> (Action.Send) action)
        .toList();
  }
}
