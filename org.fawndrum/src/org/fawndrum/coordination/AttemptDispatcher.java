// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import org.fawndrum.coordination.limit.EndpointPermits;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostIdentity;

/**
 * Starts attempts: accounts for the load that they add, broadcasts it and emits the send action.
 * Confined to the coordinator's thread; times are those of the host's clock, in milliseconds.
 */
final class AttemptDispatcher {
  private final HostIdentity self;
  private final EngineWork work;
  private final EndpointPermits permits;
  private final DispatchRate dispatchRate;
  private final DecisionRecorder decisionRecorder;
  private final List<Action> actions;

  AttemptDispatcher(
      HostIdentity self,
      EngineWork work,
      EndpointPermits permits,
      DispatchRate dispatchRate,
      DecisionRecorder decisionRecorder,
      List<Action> actions) {
    this.self = self;
    this.work = work;
    this.permits = permits;
    this.dispatchRate = dispatchRate;
    this.decisionRecorder = decisionRecorder;
    this.actions = actions;
  }

  /** Sends a request to the chosen endpoint. */
  void dispatch(OpenRequest request, Placement.Choice choice, int priority, long nowMs) {
    RequestFacts facts = request.facts;
    int number = request.attempts.size() + 1;
    AttemptId id = new AttemptId(self, facts.requestId(), number);
    EndpointState state = choice.state();
    OpenRequest.Attempt attempt = new OpenRequest.Attempt(id, choice, nowMs);
    // The send action runs on another thread: from here on bytes may leave the host at any time.
    attempt.state = AttemptTransitions.next(attempt.state, AttemptEvent.SENDING);
    request.attempts.add(attempt);
    boolean model = facts.target().kind() == EndpointKind.MODEL;
    state.attemptSent(id, priority, facts.promptTokens(), model ? facts.workTokens() : 0, nowMs);
    state.prefixes().stored(facts.prefixes());
    work.attemptPlaced(attempt, facts, choice, nowMs);
    dispatchRate.recordDispatch(facts.target(), facts.workTokens(), nowMs);
    decisionRecorder.placed(request, choice, number, nowMs);
    actions.add(choice.toSend(id, priority, request.deadlineMs, takePermits(choice, nowMs)));
  }

  /** Takes a permit for each chosen endpoint that needs one. Returns the end of the first. */
  private long takePermits(Placement.Choice choice, long nowMs) {
    return choice.endpoints().stream()
        .mapToLong(state -> permits.take(state.endpoint().name(), nowMs))
        .filter(endMs -> endMs != EndpointPermits.NO_PERMIT)
        .min()
        .orElse(EndpointPermits.NO_PERMIT);
  }

  /** Records that part of the answer arrived, which means that the prompt is prefilled. */
  void answerStarted(OpenRequest request, OpenRequest.Attempt attempt, long nowMs) {
    work.prefilled(attempt, nowMs);
    attempt.answerArrived(nowMs);
    if (!request.firstTokenSeen) {
      request.firstTokenSeen = true;
      attempt.endpoint.promptPrefilled(attempt.id);
      decisionRecorder.firstToken(request, attempt, nowMs);
    }
  }
}
