// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

/**
 * An update as another host receives it: times are transmitted as ages, without the transport
 * delay.
 */
final class DelayedUpdate {
  private DelayedUpdate() {}

  /** Returns the update after a transport delay in milliseconds. */
  static CrashUpdate of(CrashUpdate update, long delayMs) {
    return new CrashUpdate(
        update.crashes().stream().map(item -> of(item, delayMs)).toList(),
        update.answered().stream()
            .map(item -> new AnsweredRequest(item.request(), item.atMs() + delayMs))
            .toList(),
        update.rejected().stream()
            .map(
                item ->
                    new RejectedRequest(item.request(), item.sinceMs() + delayMs, item.endpoints()))
            .toList(),
        update.leases().stream()
            .map(item -> new ExecutionLease(item.request(), item.host(), item.atMs() + delayMs))
            .toList(),
        update.inconclusiveRuns().stream()
            .map(
                item ->
                    new InconclusiveRuns(
                        item.request(), item.host(), item.count(), item.lastStartedMs() + delayMs))
            .toList(),
        update.hops());
  }

  private static EndpointCrash of(EndpointCrash crash, long delayMs) {
    return new EndpointCrash(
        crash.endpoint(),
        crash.lastSentMs() + delayMs,
        crash.atMs() + delayMs,
        crash.requests(),
        crash.parts());
  }
}
