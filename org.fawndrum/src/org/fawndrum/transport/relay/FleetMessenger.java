// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.protocol.FleetCodec;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.PermitCodec;
import org.fawndrum.protocol.wire.DaemonPlace;
import org.fawndrum.protocol.wire.FleetNews;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.protocol.wire.PermitNews;
import org.fawndrum.state.HostAddress;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.peer.PeerNetwork;

/**
 * Writes and sends this daemon's messages to the others. Each carries what this daemon has read of
 * the store, and what it has newly learned about endpoints. Confined to one thread.
 */
final class FleetMessenger {
  /**
   * How long the list of living daemons is used that was made for one that joins, in milliseconds:
   * short against the interval of heartbeats, by which those that join learn the others, too.
   */
  private static final long MEMBERS_INTERVAL_MS = 100;

  private final Supplier<StorePositions> storePositions;
  private final LongSupplier crashSummary;
  private final PeerNetwork network;
  private final HostClock clock;
  private final ShutdownNotices shutdownNotices;
  private final RateReports rateReports;
  private FleetMember self;
  private List<DaemonPlace> members = List.of();
  private long membersUntilMs;

  FleetMessenger(
      FleetMember self,
      Supplier<StorePositions> storePositions,
      LongSupplier crashSummary,
      PeerNetwork network,
      HostClock clock,
      ShutdownNotices shutdownNotices,
      RateReports rateReports) {
    this.self = self.starting();
    this.storePositions = storePositions;
    this.crashSummary = crashSummary;
    this.network = network;
    this.clock = clock;
    this.shutdownNotices = shutdownNotices;
    this.rateReports = rateReports;
  }

  /** Returns this daemon as it describes itself now. */
  FleetMember self() {
    return self;
  }

  /** Describes this daemon as one that issues permits from now on. */
  void issue() {
    self = self.issuing();
  }

  /** Describes this daemon as one that shuts down from now on. */
  void stop() {
    self = self.stopping();
  }

  FleetNews.Builder newMessage(List<FleetReport> reports, long nowMs) {
    FleetNews.Builder builder = newMessage();
    reports.forEach(report -> builder.addReports(FleetCodec.write(report, nowMs)));
    return builder;
  }

  FleetNews.Builder newMessage() {
    StorePositions positions = storePositions.get();
    long nowMs = clock.nowMs();
    FleetNews.Builder builder =
        FleetNews.newBuilder()
            .setSender(FleetCodec.write(self))
            .setConfigurationRevision(positions.configurationRevision())
            .setEndpointsEra(positions.endpointsChanged().epoch())
            .setEndpointsChanged(positions.endpointsChanged().offset())
            .addAllLeaving(FleetCodec.writeEndpoints(shutdownNotices.current(nowMs)))
            .addAllRates(PermitCodec.writeRates(rateReports.current(nowMs), nowMs))
            .setCrashSummary(crashSummary.getAsLong());
    if (positions.zoneDrains().position().isKnown()) {
      builder.setZoneDrains(positions.zoneDrains().write());
    }
    return builder;
  }

  /** Replaces the rates in a message, the newest only, by all that are known. */
  FleetNews.Builder withAllRates(FleetNews.Builder message) {
    return message
        .clearRates()
        .addAllRates(PermitCodec.writeRates(rateReports.all(), clock.nowMs()));
  }

  /**
   * Tells a daemon which daemons are alive, on the connection by which it asked: a daemon that all
   * others ask needs no connection to each of them. Many may join at once, so that what they are
   * told is made anew only after a time.
   */
  void sendMembers(Consumer<PeerMessage.Builder> reply, Supplier<List<FleetMember>> alive) {
    long nowMs = clock.nowMs();
    if (nowMs >= membersUntilMs) {
      membersUntilMs = nowMs + MEMBERS_INTERVAL_MS;
      members = alive.get().stream().map(FleetCodec::write).toList();
    }
    reply.accept(message().setFleetNews(withAllRates(newMessage().addAllKnown(members))));
  }

  void send(FleetNews.Builder builder, Collection<HostAddress> to) {
    send(message().setFleetNews(builder).build(), to);
  }

  void send(PermitNews.Builder builder, HostAddress to) {
    send(message().setPermitNews(builder.setSender(FleetCodec.write(self))).build(), List.of(to));
  }

  private PeerMessage.Builder message() {
    return PeerCodec.newMessage(self.identity());
  }

  private void send(PeerMessage message, Collection<HostAddress> to) {
    network.send(to, message);
  }

  static Set<HostAddress> addresses(List<FleetMember> members) {
    Set<HostAddress> addresses = addressSet();
    members.forEach(target -> addresses.add(target.address()));
    return addresses;
  }

  /** Returns an empty set that keeps the order in which addresses are added. */
  static Set<HostAddress> addressSet() {
    return new LinkedHashSet<>();
  }
}
