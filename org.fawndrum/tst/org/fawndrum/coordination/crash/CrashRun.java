// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import org.fawndrum.state.HostIdentity;

/** One run of a request at an engine, or on its way there. */
record CrashRun(
    TestContent request,
    boolean deadly,
    int host,
    int triesLeft,
    ExecutionLease lease,
    HostIdentity target,
    long sentMs) {
  CrashRun(TestContent request, boolean deadly, int host, int triesLeft) {
    this(request, deadly, host, triesLeft, null, null, 0);
  }

  CrashRun withLease(ExecutionLease acquired) {
    return new CrashRun(request, deadly, host, triesLeft, acquired, target, sentMs);
  }

  CrashRun withTarget(HostIdentity identity, long atMs) {
    return new CrashRun(request, deadly, host, triesLeft, lease, identity, atMs);
  }
}
