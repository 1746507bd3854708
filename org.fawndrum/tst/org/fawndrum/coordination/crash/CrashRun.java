// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import org.fawndrum.state.HostIdentity;

/** One request at one engine, or on its way there. */
record CrashRun(
    TestContent request,
    boolean deadly,
    int host,
    int triesLeft,
    SuspectTurn turn,
    HostIdentity sentTo,
    long takenMs) {
  CrashRun(TestContent request, boolean deadly, int host, int triesLeft) {
    this(request, deadly, host, triesLeft, null, null, 0);
  }

  CrashRun with(SuspectTurn taken) {
    return new CrashRun(request, deadly, host, triesLeft, taken, sentTo, takenMs);
  }

  CrashRun sent(HostIdentity start, long atMs) {
    return new CrashRun(request, deadly, host, triesLeft, turn, start, atMs);
  }
}
