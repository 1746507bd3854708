// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.Set;
import java.util.function.Consumer;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.ZoneDrains;

/**
 * Logs changes of the drained zones, and passes them to the decisions and to the other daemons.
 *
 * @param starts receives the zones that were taken back, before their endpoints are used
 */
record ZoneDrainNotifier(
    Consumer<Set<String>> starts,
    Consumer<RelayEvent> decisions,
    Consumer<FleetEvent> fleet,
    HostLog log)
    implements ZoneDrainStore.Listener {
  @Override
  public void beforeTakenBack(Set<String> takenBack) {
    starts.accept(takenBack);
  }

  @Override
  public void changed(Set<String> drained, Set<String> takenBack, ZoneDrains now, String source) {
    drained.forEach(zone -> log(LogEvent.ZONE_DRAINED, zone, now, source));
    takenBack.forEach(zone -> log(LogEvent.ZONE_TAKEN_BACK, zone, now, source));
    decisions.accept(new RelayEvent.DrainedZonesChanged());
    fleet.accept(new FleetEvent.DrainedZonesChanged());
  }

  private void log(LogEvent event, String zone, ZoneDrains now, String source) {
    log.event(event, zone, now.position().epoch(), now.position().offset(), source);
  }
}
