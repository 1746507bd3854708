// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

/**
 * An update as another host receives it: times are transmitted as ages, without the transport
 * delay.
 */
final class DelayedUpdate {
  private DelayedUpdate() {}

  /** Returns the update after a transport delay in milliseconds. */
  static CrashNews of(CrashNews update, long delayMs) {
    return new CrashNews(
        update.crashes().stream().map(item -> of(item, delayMs)).toList(),
        update.served().stream()
            .map(item -> new ServedRequest(item.request(), item.atMs() + delayMs))
            .toList(),
        update.refused().stream()
            .map(
                item ->
                    new RefusedRequest(item.request(), item.sinceMs() + delayMs, item.endpoints()))
            .toList(),
        update.turns().stream()
            .map(item -> new SuspectTurn(item.request(), item.host(), item.atMs() + delayMs))
            .toList(),
        update.spent().stream()
            .map(
                item ->
                    new SpentTurn(item.request(), item.host(), item.turns(), item.atMs() + delayMs))
            .toList(),
        update.hops());
  }

  private static EndpointCrash of(EndpointCrash crash, long delayMs) {
    return new EndpointCrash(
        crash.endpoint(), crash.takenMs() + delayMs, crash.atMs() + delayMs, crash.under());
  }
}
