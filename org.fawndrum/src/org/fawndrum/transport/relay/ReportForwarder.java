// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetOverlay;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.protocol.wire.FleetNews;

/**
 * Forwards the reports of this daemon and of its subscribers, gathered for a short time. Confined
 * to one thread; times are those of the host's clock, in milliseconds.
 */
final class ReportForwarder {
  private final FleetMember member;
  private final FleetOverlay overlay;
  private final FleetMessenger messenger;
  private final BooleanSupplier manyDaemons;
  private final ReportBuffer buffer = new ReportBuffer();
  private boolean allRates;

  /**
   * Creates a forwarder without reports.
   *
   * @param member this daemon
   * @param manyDaemons whether each zone receives only the reports about its own engines
   */
  ReportForwarder(
      FleetMember member,
      FleetOverlay overlay,
      FleetMessenger messenger,
      BooleanSupplier manyDaemons) {
    this.member = member;
    this.overlay = overlay;
    this.messenger = messenger;
    this.manyDaemons = manyDaemons;
  }

  /** Adds reports. */
  void add(List<FleetReport> reports, long nowMs) {
    buffer.add(reports, nowMs);
  }

  /** Has the next message contain all rates that endpoints have named. */
  void addAllRates() {
    allRates = true;
  }

  /** Returns when the reports are due. */
  long dueMs(long nowMs) {
    return buffer.dueMs(overlay.sameZoneLinks(nowMs).size());
  }

  /** Sends the gathered reports; with many daemons, only to the zones that they concern. */
  void forward(long nowMs) {
    Map<String, List<FleetMember>> byZone = new TreeMap<>();
    byZone.put(member.zone(), overlay.sameZoneLinks(nowMs));
    for (FleetMember peer : overlay.otherZoneLinks(nowMs)) {
      byZone.computeIfAbsent(peer.zone(), zone -> new ArrayList<>()).add(peer);
    }
    List<FleetReport> all = buffer.drain(nowMs);
    boolean withRates = allRates;
    allRates = false;
    byZone.values().removeIf(List::isEmpty);
    byZone.forEach(
        (zone, members) -> {
          List<FleetReport> reports =
              all.stream()
                  .filter(report -> !manyDaemons.getAsBoolean() || report.concerns(zone))
                  .toList();
          FleetNews.Builder message = messenger.newMessage(reports, nowMs);
          messenger.send(
              withRates ? messenger.withAllRates(message) : message,
              FleetMessenger.addresses(members));
        });
  }
}
