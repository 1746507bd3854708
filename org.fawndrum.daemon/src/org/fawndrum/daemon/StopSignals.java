// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import io.vertx.core.Vertx;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.transport.EntryHostRuntime;

/**
 * What signals do: the first TERM or INT begins a planned stop, which cuts no request however long
 * that takes; a second one ends the process at once.
 */
final class StopSignals {
  private static final int CUT = 1;

  private StopSignals() {}

  static void install(Vertx vertx, EntryHostRuntime host) {
    Signals.handle("TERM", () -> received(vertx, host));
    Signals.handle("INT", () -> received(vertx, host));
  }

  private static void received(Vertx vertx, EntryHostRuntime host) {
    if (host.draining()) {
      int open = host.status().requestsOpen();
      new HostLog("org.fawndrum.host").event(LogEvent.SECOND_SIGNAL, Integer.toString(open));
      Runtime.getRuntime().halt(CUT);
      return;
    }
    host.drain()
        .thenRun(() -> host.close().onComplete(done -> vertx.close().onComplete(v -> exit())));
  }

  private static void exit() {
    System.exit(0);
  }
}
