// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fawndrum.coordination.membership.PeerFacts;
import org.fawndrum.coordination.membership.PeerView;
import org.fawndrum.coordination.membership.ZoneMembership;
import org.fawndrum.errors.BadSnapshotException;
import org.fawndrum.internal.duty.Duty;
import org.fawndrum.internal.duty.Ring;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.HostListCodec;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.PlatformMessages.HostList;
import org.fawndrum.protocol.wire.CatchUpReply;
import org.fawndrum.protocol.wire.CatchUpRequest;
import org.fawndrum.protocol.wire.Heartbeat;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.protocol.wire.SnapshotRecord;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.transport.peer.PeerNetwork;

/**
 * The thread that tracks the other daemons. It sends and receives heartbeats, answers catch-up
 * requests, and fetches the table and the host list from a peer when the platform cannot provide
 * them.
 */
final class PeerDuty implements AutoCloseable {
  private static final int RING_CAPACITY = 4_096;
  private static final long TICK_MS = 200;
  private static final long CATCH_UP_RETRY_MS = 1_000;

  private final HostIdentity self;
  private final ZoneMembership membership;
  private final PeerNetwork network;
  private final HostClock clock;
  private final Supplier<PeerFacts> ownFacts;
  private final SharedState sharedState;
  private final Consumer<PeerFacts> heartbeatListener;
  private final HostLog log;
  private final Duty<PeerEvent> duty;
  private volatile List<PeerView> view = List.of();
  private volatile List<PeerFacts> zoneView = List.of();
  private HostListing listing = HostListing.NONE;
  private long nextCatchUpMs;

  /** The state that this host exchanges with its peers. */
  interface SharedState {
    /** Returns the newest table with all registrations, for another host. */
    SnapshotRecord snapshot();

    /** Accepts a table from another host. */
    void accept(SnapshotRecord snapshot);

    /** Accepts a host list from another host. */
    void accept(HostListing listing);

    /** Returns the encoded load of the engines that this host polls for its zone. */
    byte[] loadDigest();

    /** Returns whether the platform provides everything, so that no peer needs to be queried. */
    boolean platformSuffices();
  }

  /** An event for this thread. */
  sealed interface PeerEvent {
    /** A heartbeat was received. */
    record HeartbeatReceived(PeerFacts facts) implements PeerEvent {}

    /** A newer host list was read. */
    record HostsListed(HostListing listing) implements PeerEvent {}

    /** Another host requests the newer table or host list. */
    record CatchUpRequested(CatchUpRequest request, Consumer<PeerMessage.Builder> reply)
        implements PeerEvent {}

    /** Another host replied to a catch-up request. */
    record CatchUpReceived(CatchUpReply reply) implements PeerEvent {}
  }

  PeerDuty(
      HostIdentity self,
      ZoneMembership membership,
      PeerNetwork network,
      HostClock clock,
      Supplier<PeerFacts> ownFacts,
      SharedState sharedState,
      Consumer<PeerFacts> heartbeatListener,
      HostLog log) {
    this.self = self;
    this.membership = membership;
    this.network = network;
    this.clock = clock;
    this.ownFacts = ownFacts;
    this.sharedState = sharedState;
    this.heartbeatListener = heartbeatListener;
    this.log = log;
    this.duty =
        new Duty<>("members", new Ring<>(RING_CAPACITY), this::handle, this::tick, TICK_MS, log);
  }

  void start() {
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
  }

  /** Queues an event. If the ring is full it is dropped; peers repeat heartbeats and requests. */
  void offer(PeerEvent event) {
    duty.offer(event);
  }

  /** Returns the other daemons as of the last tick. */
  List<PeerView> peers() {
    return view;
  }

  /** Returns the living daemons of the zone other than this host, as of the last tick. */
  List<PeerFacts> livingInZone() {
    return zoneView;
  }

  private void handle(PeerEvent event) {
    if (event instanceof PeerEvent.HeartbeatReceived heartbeat) {
      heartbeatReceived(heartbeat.facts());
    } else if (event instanceof PeerEvent.HostsListed listed) {
      if (listed.listing().version() > listing.version()) {
        listing = listed.listing();
        membership.setEntryHosts(listing.entryHosts());
      }
    } else if (event instanceof PeerEvent.CatchUpRequested requested) {
      requested
          .reply()
          .accept(PeerCodec.newMessage(self).setCatchUpReply(reply(requested.request())));
    } else if (event instanceof PeerEvent.CatchUpReceived received) {
      applyCatchUp(received.reply());
    }
  }

  private void heartbeatReceived(PeerFacts facts) {
    ZoneMembership.Change change = membership.receive(facts, clock.nowMs());
    if (change == ZoneMembership.Change.ALIVE) {
      log.event(LogEvent.PEER_ALIVE, facts.identity());
    }
    heartbeatListener.accept(facts);
  }

  private CatchUpReply reply(CatchUpRequest request) {
    CatchUpReply.Builder reply = CatchUpReply.newBuilder();
    SnapshotRecord snapshot = sharedState.snapshot();
    if (snapshot.getPosition() > request.getTableAfterPosition()) {
      reply.setSnapshot(snapshot);
    }
    if (listing.version() > request.getListingAfterVersion()) {
      String json = Json.write(HostListCodec.encode(listing));
      reply.setListingJson(ByteString.copyFromUtf8(json));
    }
    return reply.build();
  }

  private void applyCatchUp(CatchUpReply reply) {
    try {
      if (reply.hasSnapshot()) {
        sharedState.accept(reply.getSnapshot());
      }
      if (!reply.getListingJson().isEmpty()) {
        String json = reply.getListingJson().toString(StandardCharsets.UTF_8);
        sharedState.accept(HostListCodec.decode(Json.read(json, HostList.class)));
      }
    } catch (BadSnapshotException | IOException e) {
      log.failure(LogEvent.PEER_MESSAGE_DROPPED, e, "catch-up");
    }
  }

  private void tick() {
    long nowMs = clock.nowMs();
    for (ZoneMembership.Changed changed : membership.updateSuspects(nowMs)) {
      log.event(LogEvent.PEER_SUSPECTED, changed.identity(), Long.toString(changed.silentMs()));
    }
    Set<HostAddress> due = membership.dueHeartbeats(nowMs);
    if (!due.isEmpty()) {
      sendHeartbeats(due);
    }
    catchUp(nowMs);
    view = membership.peers();
    zoneView = membership.livingInZone();
  }

  private void sendHeartbeats(Set<HostAddress> due) {
    Heartbeat.Builder heartbeat = PeerCodec.heartbeat(ownFacts.get());
    heartbeat.setLoadDigest(ByteString.copyFrom(sharedState.loadDigest()));
    PeerMessage message = PeerCodec.newMessage(self).setHeartbeat(heartbeat).build();
    network.send(due, message);
  }

  private void catchUp(long nowMs) {
    if (nowMs < nextCatchUpMs || sharedState.platformSuffices()) {
      return;
    }
    PeerFacts own = ownFacts.get();
    membership
        .newerPeer(own.tablePosition(), own.listingVersion())
        .ifPresent(
            peer -> {
              nextCatchUpMs = nowMs + CATCH_UP_RETRY_MS;
              fetch(peer, own);
            });
  }

  private void fetch(PeerFacts from, PeerFacts own) {
    CatchUpRequest request =
        CatchUpRequest.newBuilder()
            .setTableAfterPosition(own.tablePosition())
            .setListingAfterVersion(own.listingVersion())
            .build();
    network
        .request(from.address(), PeerCodec.newMessage(self).setCatchUpRequest(request))
        .thenAccept(reply -> offer(new PeerEvent.CatchUpReceived(reply.getCatchUpReply())));
  }
}
