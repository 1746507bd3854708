// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.Set;
import org.fawndrum.state.HostIdentity;

/** One run of a request at an engine, or on its way there. */
record CrashRun(
    TestContent request,
    boolean deadly,
    int host,
    int triesLeft,
    ExecutionLease lease,
    HostIdentity target,
    long sentMs,
    long beganMs) {
  /** How long an answer is written before the parts of its prompt count as sound. */
  static final long SOUND_AFTER_MS = 500;

  CrashRun(TestContent request, boolean deadly, int host, int triesLeft) {
    this(request, deadly, host, triesLeft, null, null, 0, 0);
  }

  CrashRun withLease(ExecutionLease acquired) {
    return new CrashRun(request, deadly, host, triesLeft, acquired, target, sentMs, beganMs);
  }

  /**
   * Returns the run at an engine.
   *
   * @param atMs when it is sent there
   * @param beginsMs when its answer begins
   */
  CrashRun withTarget(HostIdentity identity, long atMs, long beginsMs) {
    return new CrashRun(request, deadly, host, triesLeft, lease, identity, atMs, beginsMs);
  }

  /** Returns the crash of its engine, as its host observes it. */
  EndpointCrash crash(long atMs) {
    boolean answering = atMs - beganMs >= SOUND_AFTER_MS;
    Set<RequestFingerprint> parts = answering ? Set.of() : Set.copyOf(request.parts());
    return new EndpointCrash(target, sentMs, atMs, Set.of(request.knownFingerprint()), parts);
  }
}
