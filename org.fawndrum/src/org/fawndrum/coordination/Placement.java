// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.fawndrum.state.HostIdentity;

/** Chooses the endpoint for a request, or none when it should wait. */
public interface Placement {
  /** Returns the choice; empty when no endpoint should take the request now. */
  Optional<Choice> choose(Query query);

  /**
   * What a choice is made from.
   *
   * @param facts the request
   * @param priority its priority at the engine
   * @param candidates the endpoints that serve its target; not to be changed
   * @param excluded endpoints that already failed the request
   * @param zone the availability zone of this host
   * @param nowMs the time
   */
  record Query(
      RequestFacts facts,
      int priority,
      List<EndpointState> candidates,
      Set<HostIdentity> excluded,
      String zone,
      long nowMs) {
    /** Returns the same with other candidates. */
    public Query among(List<EndpointState> others) {
      return new Query(facts, priority, others, excluded, zone, nowMs);
    }

    /** Tells whether an endpoint may be used at all. */
    public boolean usable(EndpointState state) {
      return !state.avoided(nowMs)
          && !state.rests(nowMs)
          && !excluded.contains(state.endpoint().identity());
    }
  }

  /**
   * A chosen endpoint.
   *
   * @param state the endpoint
   * @param reason why
   * @param passedOver the nearest endpoints not chosen
   * @param helpers other engines that read parts of the prompt; none for most requests
   * @param expectedMs when the first token is expected, in milliseconds from now; empty where
   *     nothing is expected
   */
  record Choice(
      EndpointState state,
      Reason reason,
      List<PassedOver> passedOver,
      List<Helper> helpers,
      OptionalLong expectedMs) {
    /** Makes the choice of one endpoint alone, of which nothing is expected. */
    public Choice(EndpointState state, Reason reason, List<PassedOver> passedOver) {
      this(state, reason, passedOver, List.of(), OptionalLong.empty());
    }

    /** Returns how the prompt will be read; empty where nothing is expected. */
    Optional<Reading> reading() {
      if (expectedMs.isEmpty()) {
        return Optional.empty();
      }
      List<String> engines =
          Stream.concat(Stream.of(state), helpers.stream().map(Helper::state))
              .map(one -> one.endpoint().name())
              .toList();
      return Optional.of(new Reading(engines, expectedMs.getAsLong(), Reading.NOT_YET));
    }

    /** Returns the order to send an attempt to what was chosen. */
    Action.Send order(AttemptId attempt, int priority, long deadlineMs) {
      List<Action.Helper> others =
          helpers.stream()
              .map(one -> new Action.Helper(one.state().endpoint(), one.memoryTokens()))
              .toList();
      return new Action.Send(attempt, state.endpoint(), priority, deadlineMs, others);
    }
  }

  /**
   * Another engine that takes part in reading a prompt.
   *
   * @param state the engine
   * @param memoryTokens the memory to set aside there first, in tokens; 0 for none
   */
  record Helper(EndpointState state, long memoryTokens) {}
}
