// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Vertx;
import java.util.function.Consumer;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;

/**
 * Delivers events to the decision duty. Events about accepted work must not be lost: if the ring is
 * full, they are offered again later. Thread-safe.
 */
final class ReliableEventSink implements Consumer<RelayEvent> {
  /** Delay before an event that did not fit into the ring is offered again, in milliseconds. */
  private static final long RETRY_MS = 1;

  private final Vertx vertx;
  private final RelayDuty decisions;
  private final HostLog log;

  ReliableEventSink(Vertx vertx, RelayDuty decisions, HostLog log) {
    this.vertx = vertx;
    this.decisions = decisions;
    this.log = log;
  }

  @Override
  public void accept(RelayEvent event) {
    if (!decisions.offer(event)) {
      log.event(LogEvent.EVENT_RING_FULL, "decisions");
      vertx.setTimer(RETRY_MS, id -> accept(event));
    }
  }
}
