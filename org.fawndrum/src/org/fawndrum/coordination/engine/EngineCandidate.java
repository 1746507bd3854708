// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import org.fawndrum.coordination.EndpointState;
import org.fawndrum.state.EngineProfile;

/**
 * An engine that is eligible for a request.
 *
 * @param state the engine
 * @param forecast its forecast load
 * @param orderFraction its position in the order that breaks ties, 0 to 1
 * @param zonePenaltyMs the penalty for being in another zone, in milliseconds
 * @param freeTokens the cache memory available for requests, in tokens
 */
record EngineCandidate(
    EndpointState state,
    EngineForecast forecast,
    double orderFraction,
    double zonePenaltyMs,
    long freeTokens) {
  EngineProfile profile() {
    return state.endpoint().engine().orElseThrow();
  }

  String name() {
    return state.endpoint().name();
  }

  /** Returns whether it has a slot for another decoding stream. */
  boolean canDecode() {
    return forecast.streams() < profile().slots();
  }

  /** Returns whether it can prefill a segment for another engine. */
  boolean canHelp() {
    return forecast.helperSegments() < profile().slots();
  }

  /** Returns the work of one segment of a prompt on this engine, at its current slowness. */
  EngineForecast.PrefillWork segment(long promptTokens, int engines) {
    double ms = profile().prefillMs(promptTokens) / engines * forecast.slowness();
    return new EngineForecast.PrefillWork(ms, share(promptTokens, engines));
  }

  /** Returns the tokens for each of a number of engines, rounded up. */
  static long share(long tokens, int engines) {
    return (tokens + engines - 1) / engines;
  }
}
