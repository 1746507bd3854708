// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

/** News as another host has them: it gets ages, and takes the way of the news for none. */
final class LateNews {
  private LateNews() {}

  /** Returns news that were on their way for so many milliseconds. */
  static CrashNews of(CrashNews news, long lateMs) {
    return new CrashNews(
        news.crashes().stream().map(one -> of(one, lateMs)).toList(),
        news.served().stream()
            .map(one -> new ServedRequest(one.request(), one.atMs() + lateMs))
            .toList(),
        news.refused().stream()
            .map(one -> new RefusedRequest(one.request(), one.sinceMs() + lateMs, one.endpoints()))
            .toList(),
        news.turns().stream()
            .map(one -> new SuspectTurn(one.request(), one.host(), one.atMs() + lateMs))
            .toList(),
        news.spent().stream()
            .map(one -> new SpentTurn(one.request(), one.host(), one.turns(), one.atMs() + lateMs))
            .toList(),
        news.hops());
  }

  private static EndpointCrash of(EndpointCrash crash, long lateMs) {
    return new EndpointCrash(
        crash.endpoint(), crash.takenMs() + lateMs, crash.atMs() + lateMs, crash.under());
  }
}
