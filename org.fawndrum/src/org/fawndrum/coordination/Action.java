// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.crash.CrashUpdate;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.coordination.limit.EndpointPermits;
import org.fawndrum.coordination.limit.PermitDemand;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;

/** An action that the decisions return for the surrounding layers to carry out. */
public sealed interface Action {
  /**
   * Sends a request to an endpoint.
   *
   * @param attempt the attempt
   * @param endpoint the endpoint to send to
   * @param priority the priority at the engine, 0 to 9
   * @param deadlineMs when the request must be complete, in milliseconds of the host's clock
   * @param permitEndMs until when it may be sent if the endpoint accepts a rate only, by the host's
   *     clock; {@link EndpointPermits#NO_PERMIT} if it needed no permit
   * @param helpers helper engines that prefill segments of the prompt; empty for most requests
   */
  record Send(
      AttemptId attempt,
      Endpoint endpoint,
      int priority,
      long deadlineMs,
      long permitEndMs,
      List<Helper> helpers)
      implements Action {
    /** Copies the list to keep the record immutable. */
    public Send {
      helpers = List.copyOf(helpers);
    }

    /** Returns the helper engine with a name or address. */
    public Optional<HostIdentity> helper(String nameOrAddress) {
      return helpers.stream()
          .map(Helper::endpoint)
          .filter(
              helper ->
                  helper.name().equals(nameOrAddress)
                      || helper.address().toString().equals(nameOrAddress))
          .map(Endpoint::identity)
          .findFirst();
    }
  }

  /**
   * A helper engine that prefills a segment of a prompt.
   *
   * @param endpoint the engine
   * @param memoryTokens the memory to reserve there before sending, in tokens; 0 for none
   */
  record Helper(Endpoint endpoint, long memoryTokens) {}

  /** Cancels an abandoned attempt at its endpoint, and releases what it holds. */
  record Cancel(AttemptId attempt, Endpoint endpoint) implements Action {}

  /**
   * Asks the endpoint of an attempt whose answer has begun whether it goes on; {@link
   * AttemptEvent#ALIVE} follows if it does.
   */
  record AskEndpoint(AttemptId attempt) implements Action {}

  /** Sends the caller a refusal as its final answer. */
  record Refuse(String requestId, Refusal refusal) implements Action {}

  /**
   * Sends an update about work at an endpoint to the other daemons.
   *
   * @param update the update
   * @param zone the endpoint's zone, whose daemons receive it first; empty for all daemons
   */
  record BroadcastWork(EngineUpdate update, String zone) implements Action {}

  /**
   * Sends an update about crashed endpoints and their requests to the other daemons.
   *
   * @param update the update
   */
  record BroadcastCrashes(CrashUpdate update) implements Action {}

  /** Asks the hosts that issue them for permits to send requests to endpoints. */
  record DemandPermits(List<PermitDemand> demands) implements Action {
    /** Copies the list to keep the record immutable. */
    public DemandPermits {
      demands = List.copyOf(demands);
    }
  }

  /** Records a decision for the live watch, the log and the metrics. */
  record RecordDecision(Decision decision) implements Action {}
}
