// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.fawndrum.coordination.EndpointRestrictions;
import org.fawndrum.coordination.backpressure.HoldLimits;
import org.fawndrum.coordination.crash.CrashUpdate;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.coordination.limit.PermitGrant;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.protocol.ZoneDrains;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.peer.PeerNetwork;
import org.junit.jupiter.api.Test;

/**
 * Hosts that got no processor time for some seconds took all others for gone, closed the
 * connections to them and opened new ones, though the messages of the others had arrived and were
 * only not read yet. The clock is the test's.
 */
class LateFleetDutyTest {
  private static final long TIMEOUT_S = 20;
  private static final HostAddress PEER = new HostAddress("10.0.0.2", 7_880);

  private final AtomicLong nowMs = new AtomicLong(1_000);
  private final BlockingQueue<String> gone = new LinkedBlockingQueue<>();
  private final BlockingQueue<Consumer<List<EngineUpdate>>> heartbeats =
      new LinkedBlockingQueue<>();
  private final BlockingQueue<Runnable> readings = new LinkedBlockingQueue<>();
  private final FleetDuty duty = duty();

  private final class Listener implements FleetListener {
    @Override
    public void reportsReceived(List<FleetReport> reports) {}

    @Override
    public void daemonGone(HostIdentity daemon) {
      gone.add(daemon.host());
    }

    @Override
    public void workRequested(Consumer<List<EngineUpdate>> reply) {
      heartbeats.add(reply);
    }

    @Override
    public void crashesReceived(PeerCrashReport report) {}

    @Override
    public void shutdownsReceived(HostIdentity daemon, List<HostIdentity> endpoints) {}

    @Override
    public void rateChanged() {}

    @Override
    public void permitsGranted(List<PermitGrant> grants) {}

    @Override
    public void crashesRequested(HostAddress daemon) {}
  }

  /** A network that reads what has arrived when the test says so. */
  private final class Network implements PeerNetwork {
    @Override
    public void send(HostAddress to, PeerMessage message) {}

    // Without annotation, so that this test can be run on a network that does not know it.
    public void send(Collection<HostAddress> to, PeerMessage message) {}

    @Override
    public CompletableFuture<PeerMessage> request(HostAddress to, PeerMessage.Builder message) {
      return new CompletableFuture<>();
    }

    @Override
    public void disconnect(HostAddress peer) {}

    // Without annotation, so that this test can be run on a network that does not know it.
    public void afterReading(Runnable step) {
      readings.add(step);
    }
  }

  private FleetDuty duty() {
    HostAddress self = new HostAddress("10.0.0.1", 7_880);
    RelaySettings settings =
        new RelaySettings(
            "host-1",
            "zone-a",
            self,
            self,
            self,
            Optional.empty(),
            self,
            self,
            20,
            List.of(),
            new RelayBounds(true, 5_000, 2_000, 2_000, 8_000, 0.2, 100, 10_000, 120),
            HoldLimits.DEFAULT,
            List.of(),
            false);
    return new FleetDuty(
        new HostIdentity("host-1", 1),
        () -> settings,
        () -> new StorePositions(-1, StorePosition.NONE, ZoneDrains.NONE),
        () -> 0,
        new EndpointRestrictions(),
        (statement, by) -> {},
        new Network(),
        nowMs::get,
        new Listener(),
        new HostLog("test"));
  }

  private void receiveFromPeer() {
    FleetMember peer = new FleetMember(new HostIdentity("host-2", 1), PEER, "zone-a", 10);
    PeerCrashReport crashes = new PeerCrashReport(PEER, CrashUpdate.NONE, false, 0);
    duty.offer(
        new FleetEvent.MessageReceived(
            peer, true, List.of(), List.of(), crashes, List.of(), List.of(), reply -> {}));
  }

  /**
   * Advances the clock; returns after the duty has looked for silent hosts and sent a heartbeat.
   */
  private void advance(long ms) throws InterruptedException {
    heartbeats.clear();
    nowMs.addAndGet(ms);
    duty.offer(new FleetEvent.DrainedZonesChanged());
    awaitHeartbeat();
  }

  private void awaitHeartbeat() throws InterruptedException {
    assertNotNull(heartbeats.poll(TIMEOUT_S, TimeUnit.SECONDS));
  }

  /** Reads what has arrived, once the duty has asked for it after its last heartbeat. */
  private void read() throws InterruptedException {
    Runnable reading = readings.poll(TIMEOUT_S, TimeUnit.SECONDS);
    assertNotNull(reading);
    reading.run();
  }

  @Test
  void messagesThatAreNotReadYetAreNoSilence() throws InterruptedException {
    receiveFromPeer();
    duty.start();
    awaitHeartbeat();
    read();
    advance(1_000);
    // No processor time for six seconds.
    advance(6_000);
    assertEquals(List.of(), List.copyOf(gone));
    receiveFromPeer();
    read();
    advance(1_000);
    assertEquals(List.of(), List.copyOf(gone));
  }

  @Test
  void silenceOfOthersIsFoundWhileThisHostReads() throws InterruptedException {
    receiveFromPeer();
    duty.start();
    awaitHeartbeat();
    for (int second = 0; second < 20 && gone.isEmpty(); second++) {
      read();
      advance(1_000);
    }
    assertEquals("host-2", gone.poll(TIMEOUT_S, TimeUnit.SECONDS));
  }
}
