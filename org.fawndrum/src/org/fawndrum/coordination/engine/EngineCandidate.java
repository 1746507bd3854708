// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import org.fawndrum.coordination.EndpointState;
import org.fawndrum.state.EngineProfile;

/**
 * An engine that may be used for a request.
 *
 * @param state the engine
 * @param outlook what it has before it
 * @param part its place in the order among equals, 0 to 1
 * @param zoneMs what it costs that it is in another zone, in milliseconds
 * @param freeTokens the cache memory that may be used, in tokens
 */
record EngineCandidate(
    EndpointState state, EngineOutlook outlook, double part, double zoneMs, long freeTokens) {
  EngineProfile profile() {
    return state.endpoint().engine().orElseThrow();
  }

  String name() {
    return state.endpoint().name();
  }

  /** Tells whether it has a place for one more answer. */
  boolean canWrite() {
    return outlook.streams() < profile().slots();
  }

  /** Tells whether it can read a part for another engine. */
  boolean canHelp() {
    return outlook.helping() < profile().slots();
  }

  /** Returns what a part of a prompt is for it, by its present pace. */
  EngineOutlook.Amount partOf(long promptTokens, int engines) {
    double ms = profile().readMs(promptTokens) / engines * outlook.slowness();
    return new EngineOutlook.Amount(ms, share(promptTokens, engines));
  }

  /** Returns what each of some engines takes of so many tokens, rounded up. */
  static long share(long tokens, int engines) {
    return (tokens + engines - 1) / engines;
  }
}
