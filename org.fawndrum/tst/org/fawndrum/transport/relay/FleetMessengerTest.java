// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.coordination.EndpointRestrictions;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.protocol.FleetCodec;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.protocol.ZoneDrains;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.peer.PeerNetwork;
import org.junit.jupiter.api.Test;

/** What a daemon tells the others, and on which connections. */
class FleetMessengerTest {
  private final FleetMember self = member("host-1");
  private final List<HostAddress> opened = new ArrayList<>();
  private final FleetMessenger messenger =
      new FleetMessenger(
          self,
          () -> new StorePositions(-1, StorePosition.NONE, ZoneDrains.NONE),
          () -> 0,
          new Network(),
          () -> 1_000,
          new ShutdownNotices(),
          new RateReports(new EndpointRestrictions().rateLimits()));

  /** Records to whom connections of this daemon's own are needed. */
  private final class Network implements PeerNetwork {
    @Override
    public void send(HostAddress to, PeerMessage message) {
      opened.add(to);
    }

    @Override
    public void send(Collection<HostAddress> to, PeerMessage message) {
      opened.addAll(to);
    }

    @Override
    public CompletableFuture<PeerMessage> request(HostAddress to, PeerMessage.Builder message) {
      opened.add(to);
      return new CompletableFuture<>();
    }

    @Override
    public void disconnect(HostAddress peer) {}

    @Override
    public void afterReading(Runnable step) {}
  }

  private static FleetMember member(String host) {
    return new FleetMember(new HostIdentity(host, 1), new HostAddress(host, 7), "zone-a", 10);
  }

  /**
   * After a loss of power the few hosts that all others ask opened a connection to each one for
   * their answer, which those others, late themselves, accepted late or never.
   */
  @Test
  void aHostThatJoinsIsToldOnTheConnectionByWhichItAsked() {
    List<FleetMember> alive = List.of(member("host-2"), member("host-3"));
    List<FleetMember> told = new ArrayList<>();
    messenger.sendMembers(
        reply ->
            reply.build().getFleetNews().getKnownList().stream()
                .map(FleetCodec::read)
                .forEach(told::add),
        () -> alive);
    assertEquals(alive, told);
    assertEquals(List.of(), opened);
  }
}
