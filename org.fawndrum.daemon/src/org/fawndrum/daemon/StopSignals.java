// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import io.vertx.core.Vertx;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.transport.EntryHostRuntime;

/**
 * Handles the signals TERM and INT. The first one starts a planned shutdown, which waits for all
 * requests without a time limit; a second one terminates the process at once.
 */
final class StopSignals {
  private static final int EXIT_ABORTED = 1;

  private StopSignals() {}

  static void install(Vertx vertx, EntryHostRuntime host) {
    Signals.handle("TERM", () -> received(vertx, host));
    Signals.handle("INT", () -> received(vertx, host));
  }

  private static void received(Vertx vertx, EntryHostRuntime host) {
    if (host.draining()) {
      int open = host.status().requestsOpen();
      new HostLog("org.fawndrum.host").event(LogEvent.SECOND_SIGNAL, Integer.toString(open));
      Runtime.getRuntime().halt(EXIT_ABORTED);
      return;
    }
    host.drain()
        .thenRun(() -> host.close().onComplete(done -> vertx.close().onComplete(v -> exit())));
  }

  private static void exit() {
    System.exit(0);
  }
}
