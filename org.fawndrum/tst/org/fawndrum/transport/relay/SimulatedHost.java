// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.fawndrum.coordination.DrainedZones;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetOverlay;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.coordination.membership.SilentContacts;
import org.fawndrum.errors.PeerUnreachableException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.KeyedPage.KeyedRecord;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.state.CallerLimits;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.RouteTable;
import org.fawndrum.transport.peer.PeerNetwork;

/**
 * A host of a {@link SimulatedSite}: the product's readers of the store and its view of the fleet,
 * with heartbeats that are forwarded by zone leaders. Times are in milliseconds.
 */
final class SimulatedHost implements StorePeers, PeerNetwork {
  private static final long HEARTBEAT_MS = 1_000;

  /** The interval of heartbeats while no other host is known to be alive. */
  private static final long SEARCH_HEARTBEAT_MS = 250;

  private static final int PORT = 7_880;

  /** How long a peer's reply is awaited. */
  private static final long REPLY_TIMEOUT_MS = 1_000;

  /** How many silent peers a heartbeat contacts. */
  private static final int SILENT_CONTACTS = 3;

  private static final HostLog LOG = new HostLog("simulated");

  /** Kept, so that its level stays: days of simulated time write millions of lines. */
  private static final Logger LOGGER = Logger.getLogger("simulated");

  static {
    LOGGER.setLevel(Level.OFF);
  }

  private final SimulatedSite site;
  private final SimulatedTime time;
  private final FleetMember member;
  private final FleetOverlay overlay;
  private final SimulatedStore.Client store;
  private final RouteStore routes;
  private final StoreReader reader;
  private final PeerStoreSync sync;
  private final Set<SimulatedHost> unreachable = new HashSet<>();
  private final SilentContacts silentContacts = new SilentContacts(SILENT_CONTACTS);
  private List<FleetMember> livePeers = List.of();
  private long sequence;
  private int requestCount;

  /** Decodes the revision of a configuration. */
  private static final class RevisionDecoder implements RelayDecoder {
    @Override
    public boolean isConfiguration(KeyedRecord record) {
      return true;
    }

    @Override
    public Optional<String> drainedZone(KeyedRecord record) {
      return Optional.empty();
    }

    @Override
    public RouteTable configuration(KeyedRecord record) {
      long revision = Long.parseLong(new String(record.value()));
      CallerLimits limits = new CallerLimits(1, 1, 1, 1);
      return new RouteTable(revision, List.of(), List.of(), Map.of(), false, limits);
    }

    @Override
    public EndpointEntry endpoint(KeyedRecord record) {
      throw new IllegalStateException("not an endpoint");
    }
  }

  SimulatedHost(SimulatedSite site, String name, String zone, int index, RelayBounds bounds) {
    this.site = site;
    this.time = site.time();
    this.member =
        new FleetMember(
            new HostIdentity(name, 1), new HostAddress("10.0.0." + (index + 1), PORT), zone, 1_000);
    this.overlay = new FleetOverlay(member, new Watcher());
    this.store = site.store().new Client();
    this.routes =
        new RouteStore(
            (table, rows) -> {},
            new ZoneDrainStore(new DrainedZones(), (drained, takenBack, now, by) -> {}));
    RelayAdapter adapter = new RelayAdapter(new FixedCodec(), new RevisionDecoder(), store, null);
    this.reader =
        new StoreReader(
            time,
            adapter,
            routes,
            () -> bounds,
            () -> 0,
            () -> zoneLeader() == null,
            listing -> {},
            null,
            time,
            LOG);
    this.sync =
        new PeerStoreSync(
            member.identity(), this, this, routes, reader, new Random(index), time, LOG);
    time.runAfter(index, () -> start(bounds));
  }

  private void start(RelayBounds bounds) {
    reader.start();
    sync.start(step -> time.runAfter(0, step), time, () -> new StoreTimes(bounds));
    heartbeat();
  }

  /** Ignores who appears and who is gone: the overlay alone decides. */
  private static final class Watcher implements FleetOverlay.Watcher {
    @Override
    public void appeared(FleetMember member) {}

    @Override
    public void gone(FleetMember member, long silentMs) {}
  }

  FleetMember member() {
    return member;
  }

  SimulatedStore.Client store() {
    return store;
  }

  /** Returns the number of queries that this host has sent to others. */
  int requestCount() {
    return requestCount;
  }

  long revision() {
    return routes.table().revision();
  }

  /** Cuts the path of messages from this host to another, or mends it. */
  void setReaches(SimulatedHost other, boolean reaches) {
    if (reaches) {
      unreachable.remove(other);
    } else {
      unreachable.add(other);
    }
  }

  boolean reaches(SimulatedHost other) {
    return !unreachable.contains(other);
  }

  /** Learns of all other hosts, as from the seeds of its settings. */
  void meet(List<SimulatedHost> all) {
    overlay.addMembers(all.stream().map(SimulatedHost::member).toList(), time.nowMs());
    livePeers = overlay.alive();
  }

  @Override
  public HostAddress zoneLeader() {
    FleetMember leader = overlay.zoneLeader(time.nowMs());
    return leader.identity().equals(member.identity()) ? null : leader.address();
  }

  @Override
  public List<FleetMember> livePeers() {
    return livePeers;
  }

  @Override
  public List<HostAddress> silentPeers() {
    return overlay.silentAddresses();
  }

  private void heartbeat() {
    long nowMs = time.nowMs();
    overlay.expire(nowMs);
    livePeers = overlay.alive();
    FleetReport report =
        new FleetReport(
            member.identity(),
            Optional.of(member),
            ++sequence,
            FleetReport.ALL_ZONES,
            true,
            List.of());
    Set<HostAddress> to = new HashSet<>();
    overlay.otherZoneLinks(nowMs).forEach(peer -> to.add(peer.address()));
    overlay.sameZoneLinks(nowMs).forEach(peer -> to.add(peer.address()));
    HostAddress leader = zoneLeader();
    if (leader != null) {
      to.add(leader);
    } else {
      to.addAll(silentContacts.next(overlay.silentAddresses()));
    }
    send(to, List.of(report));
    time.runAfter(livePeers.isEmpty() ? SEARCH_HEARTBEAT_MS : HEARTBEAT_MS, this::heartbeat);
  }

  private void send(Set<HostAddress> to, List<FleetReport> reports) {
    StorePositions positions = reader.positions();
    for (SimulatedHost other : site.hosts()) {
      if (to.contains(other.member.address()) && reaches(other)) {
        time.runAfter(site.delayMs(), () -> other.received(this, reports, positions));
      }
    }
  }

  private void received(SimulatedHost from, List<FleetReport> reports, StorePositions positions) {
    long nowMs = time.nowMs();
    overlay.receivedFrom(from.member, true, nowMs);
    List<FleetReport> accepted = new ArrayList<>();
    reports.stream().filter(report -> overlay.accept(report, nowMs)).forEach(accepted::add);
    sync.peerUpdated(from.member, positions);
    if (overlay.forwards(nowMs) && !accepted.isEmpty()) {
      Set<HostAddress> to = new HashSet<>();
      overlay.sameZoneLinks(nowMs).forEach(peer -> to.add(peer.address()));
      overlay.otherZoneLinks(nowMs).forEach(peer -> to.add(peer.address()));
      send(to, accepted);
    }
  }

  @Override
  public void send(HostAddress to, PeerMessage message) {
    throw new IllegalStateException("the readers of the store send only requests");
  }

  @Override
  public void send(Collection<HostAddress> to, PeerMessage message) {
    throw new IllegalStateException("the readers of the store send only requests");
  }

  @Override
  public CompletableFuture<PeerMessage> request(HostAddress to, PeerMessage.Builder message) {
    requestCount++;
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    SimulatedHost other = site.at(to);
    if (reaches(other)) {
      time.runAfter(
          site.delayMs(),
          () -> {
            PeerMessage answer = other.sync.reply(message.getKnowledgeRequest()).build();
            if (other.reaches(this)) {
              time.runAfter(site.delayMs(), () -> reply.complete(answer));
            }
          });
    }
    time.runAfter(
        REPLY_TIMEOUT_MS,
        () -> reply.completeExceptionally(new PeerUnreachableException(to, null)));
    return reply;
  }

  @Override
  public void afterReading(Runnable step) {
    // Messages are handled when they arrive.
    step.run();
  }

  @Override
  public void disconnect(HostAddress peer) {
    // Connections have no state here.
  }
}
