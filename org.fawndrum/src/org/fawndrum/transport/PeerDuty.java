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
 * The thread that knows the other daemons: it sends and takes heartbeats, hands what it has to
 * those who lack it, and fetches from others what the platform cannot give.
 */
final class PeerDuty implements AutoCloseable {
  private static final int RING = 4_096;
  private static final long TICK_MS = 200;
  private static final long CATCH_UP_MS = 1_000;

  private final HostIdentity self;
  private final ZoneMembership membership;
  private final PeerNetwork network;
  private final HostClock clock;
  private final Supplier<PeerFacts> ownFacts;
  private final Holdings holdings;
  private final Consumer<PeerFacts> heard;
  private final HostLog log;
  private final Duty<PeerEvent> duty;
  private volatile List<PeerView> view = List.of();
  private volatile List<PeerFacts> zoneView = List.of();
  private HostListing listing = HostListing.NONE;
  private long nextCatchUpMs;

  /** What this host holds that others may lack, and where it puts what it gets from them. */
  interface Holdings {
    /** Returns the newest table with everybody registered, for another host. */
    SnapshotRecord snapshot();

    /** Takes a table from another host. */
    void take(SnapshotRecord snapshot);

    /** Takes a host list from another host. */
    void take(HostListing listing);

    /** Returns the load of the endpoints that this host watches for its zone. */
    byte[] loadDigest();

    /** Tells whether the platform gives everything, so that other hosts need not be asked. */
    boolean needsNoPeer();
  }

  /** An event of this thread. */
  sealed interface PeerEvent {
    /** A heartbeat came. */
    record Heard(PeerFacts facts) implements PeerEvent {}

    /** A newer host list is known. */
    record Listed(HostListing listing) implements PeerEvent {}

    /** Another host asks for what it lacks. */
    record CatchUpAsked(CatchUpRequest request, Consumer<PeerMessage.Builder> reply)
        implements PeerEvent {}

    /** Another host gave what was asked for. */
    record CaughtUp(CatchUpReply reply) implements PeerEvent {}
  }

  PeerDuty(
      HostIdentity self,
      ZoneMembership membership,
      PeerNetwork network,
      HostClock clock,
      Supplier<PeerFacts> ownFacts,
      Holdings holdings,
      Consumer<PeerFacts> heard,
      HostLog log) {
    this.self = self;
    this.membership = membership;
    this.network = network;
    this.clock = clock;
    this.ownFacts = ownFacts;
    this.holdings = holdings;
    this.heard = heard;
    this.log = log;
    this.duty = new Duty<>("members", new Ring<>(RING), this::handle, this::tick, TICK_MS, log);
  }

  void start() {
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
  }

  /** Offers an event; a heartbeat or a question that finds no room is simply sent again. */
  void offer(PeerEvent event) {
    duty.offer(event);
  }

  /** Returns the other daemons as last seen. */
  List<PeerView> peers() {
    return view;
  }

  /** Returns the living daemons of the zone as last seen, this host left out. */
  List<PeerFacts> livingInZone() {
    return zoneView;
  }

  private void handle(PeerEvent event) {
    if (event instanceof PeerEvent.Heard one) {
      heard(one.facts());
    } else if (event instanceof PeerEvent.Listed listed) {
      if (listed.listing().version() > listing.version()) {
        listing = listed.listing();
        membership.listed(listing.entryHosts());
      }
    } else if (event instanceof PeerEvent.CatchUpAsked asked) {
      asked.reply().accept(PeerCodec.from(self).setCatchUpReply(reply(asked.request())));
    } else if (event instanceof PeerEvent.CaughtUp caughtUp) {
      take(caughtUp.reply());
    }
  }

  private void heard(PeerFacts facts) {
    ZoneMembership.Change change = membership.heard(facts, clock.nowMs());
    if (change == ZoneMembership.Change.ALIVE) {
      log.event(LogEvent.PEER_ALIVE, facts.identity());
    }
    heard.accept(facts);
  }

  private CatchUpReply reply(CatchUpRequest request) {
    CatchUpReply.Builder reply = CatchUpReply.newBuilder();
    SnapshotRecord snapshot = holdings.snapshot();
    if (snapshot.getPosition() > request.getTableAfterPosition()) {
      reply.setSnapshot(snapshot);
    }
    if (listing.version() > request.getListingAfterVersion()) {
      String json = Json.write(HostListCodec.encode(listing));
      reply.setListingJson(ByteString.copyFromUtf8(json));
    }
    return reply.build();
  }

  private void take(CatchUpReply reply) {
    try {
      if (reply.hasSnapshot()) {
        holdings.take(reply.getSnapshot());
      }
      if (!reply.getListingJson().isEmpty()) {
        String json = reply.getListingJson().toString(StandardCharsets.UTF_8);
        holdings.take(HostListCodec.decode(Json.read(json, HostList.class)));
      }
    } catch (BadSnapshotException | IOException e) {
      log.failure(LogEvent.PEER_MESSAGE_DROPPED, e, "catch-up");
    }
  }

  private void tick() {
    long nowMs = clock.nowMs();
    for (ZoneMembership.Changed changed : membership.suspects(nowMs)) {
      log.event(LogEvent.PEER_SUSPECTED, changed.identity(), Long.toString(changed.silentMs()));
    }
    Set<HostAddress> due = membership.dueNow(nowMs);
    if (!due.isEmpty()) {
      tell(due);
    }
    catchUp(nowMs);
    view = membership.peers();
    zoneView = membership.livingInZone();
  }

  private void tell(Set<HostAddress> due) {
    Heartbeat.Builder heartbeat = PeerCodec.heartbeat(ownFacts.get());
    heartbeat.setLoadDigest(ByteString.copyFrom(holdings.loadDigest()));
    PeerMessage message = PeerCodec.from(self).setHeartbeat(heartbeat).build();
    due.forEach(to -> network.tell(to, message));
  }

  private void catchUp(long nowMs) {
    if (nowMs < nextCatchUpMs || holdings.needsNoPeer()) {
      return;
    }
    PeerFacts own = ownFacts.get();
    membership
        .ahead(own.tablePosition(), own.listingVersion())
        .ifPresent(
            peer -> {
              nextCatchUpMs = nowMs + CATCH_UP_MS;
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
        .ask(from.address(), PeerCodec.from(self).setCatchUpRequest(request))
        .thenAccept(reply -> offer(new PeerEvent.CaughtUp(reply.getCatchUpReply())));
  }
}
