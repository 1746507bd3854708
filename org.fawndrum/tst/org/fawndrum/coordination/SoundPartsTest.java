// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.coordination.crash.AnsweredRequest;
import org.fawndrum.coordination.crash.CrashUpdate;
import org.fawndrum.coordination.crash.EndpointCrash;
import org.fawndrum.coordination.crash.RequestContent;
import org.fawndrum.coordination.crash.RequestFingerprint;
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

/**
 * What an answer that has begun shows about the parts of its prompt. An engine whose answer began
 * and fell silent, while its connection stayed open, cleared the part that crashed it.
 */
class SoundPartsTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final RequestFingerprint PART = RequestFingerprint.ofPart("pool", 7);

  /** Longer than an answer must have gone on for its parts to be sound, in milliseconds. */
  private static final long LONG_MS = 600;

  private final RequestCoordinator coordinator =
      new RequestCoordinator(
          new HostIdentity("host-1", 1),
          "zone-a",
          Policies.engineModel(new EarnedRetryBudget(0.1, 10), () -> false, Set::of));
  private final AttemptId attempt;
  private long nowMs = 1_000;

  /** The content of a request whose prompt has the part. */
  private record ContentWithPart() implements RequestContent {
    @Override
    public long bytes() {
      return 100;
    }

    @Override
    public Optional<RequestFingerprint> fingerprint() {
      return Optional.of(new RequestFingerprint(bytes(), 1, 2));
    }

    @Override
    public List<RequestFingerprint> parts() {
      return List.of(PART);
    }
  }

  /** Another host reports a crash under the part; then a request with it gets a first event. */
  SoundPartsTest() {
    Row row = Row.EMPTY.with(Column.DEADLINE_MS, new Cell("10000", 0, "ana"));
    coordinator.updateTable(new TableRevisionBuilder(0, 0).row(GROUP, row).build(), nowMs);
    coordinator.updateEndpoints(List.of(engine()), nowMs);
    EndpointCrash crash =
        new EndpointCrash(new HostIdentity("f-1", 1), nowMs, nowMs, Set.of(), Set.of(PART));
    CrashUpdate update = new CrashUpdate(List.of(crash), List.of(), List.of(), List.of());
    coordinator.suspectedRequests(suspected -> suspected.applyUpdate(update, nowMs), nowMs);
    nowMs += LONG_MS;
    attempt = arrive();
    coordinator.attemptEvent(attempt, AttemptEvent.SENDING, nowMs);
    coordinator.attemptEvent(attempt, AttemptEvent.ANSWERING, nowMs);
  }

  private static Endpoint engine() {
    return new Endpoint(
        new HostIdentity("e-1", 1),
        "zone-a",
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", 9_001),
        Set.of("pool"),
        PROFILE.memoryTokens(),
        Optional.of(PROFILE));
  }

  private AttemptId arrive() {
    RequestFacts facts =
        new RequestFacts(
            "r-1",
            GROUP,
            new RequestTarget(EndpointKind.MODEL, "pool"),
            500,
            100,
            nowMs,
            0,
            true,
            List.of(),
            new LatencyTargets(300, 250, 2),
            new ContentWithPart());
    return coordinator.arrive(facts, nowMs).stream()
        .filter(Action.Send.class::isInstance)
        .map(action -> ((Action.Send) action).attempt())
        .findFirst()
        .orElseThrow();
  }

  /** Returns what other hosts are told to be sound. */
  private static List<RequestFingerprint> sound(List<Action> actions) {
    return updates(actions).stream()
        .flatMap(update -> update.answered().stream())
        .map(AnsweredRequest::request)
        .toList();
  }

  private static List<CrashUpdate> updates(List<Action> actions) {
    return actions.stream()
        .filter(Action.BroadcastCrashes.class::isInstance)
        .map(action -> ((Action.BroadcastCrashes) action).update())
        .toList();
  }

  private List<Action> advance() {
    nowMs += LONG_MS;
    return coordinator.tick(nowMs);
  }

  /** A guilty part was cleared by each engine that it silenced: 27 engines crashed in a test. */
  @Test
  void silenceAfterAFirstEventDoesNotClearAPart() {
    assertEquals(List.of(), sound(advance()));
  }

  /** The first part of a workspace is on every crash under its requests; its answers clear it. */
  @Test
  void anEndpointThatAnswersAQuestionClearsThePart() {
    List<Action> actions = advance();
    assertEquals(1, actions.stream().filter(new Action.AskEndpoint(attempt)::equals).count());
    assertEquals(
        List.of(PART), sound(coordinator.attemptEvent(attempt, AttemptEvent.ALIVE, nowMs)));
  }

  /** Such a crash was not counted for the part if it became known half a second later. */
  @Test
  void aCrashAfterAnUnansweredQuestionIsUnderThePart() {
    advance();
    List<CrashUpdate> told = updates(coordinator.endpointTerminated(attempt, nowMs));
    assertEquals(Set.of(PART), told.get(0).crashes().get(0).parts());
  }

  /** A part on which the endpoint has survived is not the cause of its later crash. */
  @Test
  void aCrashAfterAnAnsweredQuestionIsNotUnderThePart() {
    advance();
    coordinator.attemptEvent(attempt, AttemptEvent.ALIVE, nowMs);
    List<CrashUpdate> told = updates(coordinator.endpointTerminated(attempt, nowMs));
    assertEquals(Set.of(), told.get(0).crashes().get(0).parts());
  }
}
