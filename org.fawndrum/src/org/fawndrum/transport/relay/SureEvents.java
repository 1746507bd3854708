// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Vertx;
import java.util.function.Consumer;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;

/**
 * Hands events to the thread that decides. Events about work already taken must not be lost: when
 * the ring is full, they come again. Safe for all threads.
 */
final class SureEvents implements Consumer<RelayEvent> {
  /** The pause before an event that found no room in the ring is offered again, in milliseconds. */
  private static final long RETRY_MS = 1;

  private final Vertx vertx;
  private final RelayDuty decisions;
  private final HostLog log;

  SureEvents(Vertx vertx, RelayDuty decisions, HostLog log) {
    this.vertx = vertx;
    this.decisions = decisions;
    this.log = log;
  }

  @Override
  public void accept(RelayEvent event) {
    if (!decisions.offer(event)) {
      log.event(LogEvent.RING_REFUSED, "decisions");
      vertx.setTimer(RETRY_MS, id -> accept(event));
    }
  }
}
