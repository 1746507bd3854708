// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.fawndrum.state.HostIdentity;

/** Chooses the endpoint for a request. */
public interface Placement {
  /** Returns the choice; empty if no endpoint should take the request now. */
  Optional<Choice> choose(Query query);

  /**
   * The input of a choice.
   *
   * @param facts the request
   * @param priority its priority at the engine
   * @param candidates the endpoints that serve its target; must not be modified
   * @param excluded endpoints that already failed the request
   * @param zone the availability zone of this host
   * @param nowMs the time of the host's clock, in milliseconds
   * @param permitsRequired whether endpoints with a rate may only be used under a permit
   */
  record Query(
      RequestFacts facts,
      int priority,
      List<EndpointState> candidates,
      Set<HostIdentity> excluded,
      String zone,
      long nowMs,
      boolean permitsRequired) {
    /** Creates a query in which endpoints with a rate may only be used under a permit. */
    public Query(
        RequestFacts facts,
        int priority,
        List<EndpointState> candidates,
        Set<HostIdentity> excluded,
        String zone,
        long nowMs) {
      this(facts, priority, candidates, excluded, zone, nowMs, true);
    }

    /** Returns the query with other candidates. */
    public Query withCandidates(List<EndpointState> others) {
      return new Query(facts, priority, others, excluded, zone, nowMs, permitsRequired);
    }

    /** Returns the query as if this host had permits for all endpoints. */
    Query withoutPermits() {
      return new Query(facts, priority, candidates, excluded, zone, nowMs, false);
    }

    /** Whether an endpoint may be used: not in backoff, not excluded, and with its permit. */
    public boolean usable(EndpointState state) {
      return !state.inFailureBackoff(nowMs)
          && !state.inRequestedBackoff(nowMs)
          && !(permitsRequired && state.lacksPermit(nowMs))
          && !excluded.contains(state.endpoint().identity());
    }
  }

  /**
   * A chosen endpoint.
   *
   * @param state the endpoint
   * @param reason why it was chosen
   * @param passedOver endpoints considered and not chosen
   * @param helpers helper engines that prefill segments of the prompt; empty for most requests
   * @param expectedMs the expected time to the first token, in milliseconds from now; empty if
   *     unknown
   */
  record Choice(
      EndpointState state,
      Reason reason,
      List<PassedOverEndpoint> passedOver,
      List<Helper> helpers,
      OptionalLong expectedMs) {
    /** Creates a choice of one endpoint without helpers or an expected time. */
    public Choice(EndpointState state, Reason reason, List<PassedOverEndpoint> passedOver) {
      this(state, reason, passedOver, List.of(), OptionalLong.empty());
    }

    /** Returns how the prompt will be prefilled; empty if the expected time is unknown. */
    Optional<Prefill> prefill() {
      if (expectedMs.isEmpty()) {
        return Optional.empty();
      }
      List<String> engines = endpoints().stream().map(state -> state.endpoint().name()).toList();
      return Optional.of(new Prefill(engines, expectedMs.getAsLong(), Prefill.PENDING));
    }

    /** Returns the chosen endpoint and its helpers. */
    List<EndpointState> endpoints() {
      return Stream.concat(Stream.of(state), helpers.stream().map(Helper::state)).toList();
    }

    /** Returns the action that sends an attempt to the chosen endpoint and its helpers. */
    Action.Send toSend(AttemptId attempt, int priority, long deadlineMs, long permitEndMs) {
      List<Action.Helper> others =
          helpers.stream()
              .map(helper -> new Action.Helper(helper.state().endpoint(), helper.memoryTokens()))
              .toList();
      return new Action.Send(attempt, state.endpoint(), priority, deadlineMs, permitEndMs, others);
    }
  }

  /**
   * A helper engine that prefills a segment of the prompt.
   *
   * @param state the engine
   * @param memoryTokens the memory to reserve there before sending, in tokens; 0 for none
   */
  record Helper(EndpointState state, long memoryTokens) {}
}
