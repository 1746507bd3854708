// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.internal.log.LogRateLimiter;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.KeyedPage.KeyedRecord;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.protocol.ZoneDrains;
import org.fawndrum.protocol.wire.KnowledgeReply;
import org.fawndrum.protocol.wire.KnowledgeRequest;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.protocol.wire.StoreRecord;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.peer.PeerNetwork;

/**
 * Synchronizes the cached store state with other daemons: as a rule with the zone leader, and with
 * any others while neither the leader nor the store itself provides it in time. State of a peer
 * counts as confirmed at the time of the query minus the age that the peer reports, so that only
 * this host's clock matters. Confined to one event loop, except {@link #reply} and {@link
 * #peerUpdated}, which are thread-safe.
 */
final class PeerStoreSync implements FleetReceiver.StoreSync {
  /** Number of other peers that are queried at a time. */
  private static final int PEERS_AT_A_TIME = 6;

  /** Number of peers from which a newer configuration, which may be large, is fetched at a time. */
  private static final int MAX_FETCHES = 2;

  /**
   * Rounds of queries to any peers that follow each other at the shortest interval: by then a host
   * has asked for as long as it may take to find one that knows more. If none does, the store
   * serves nobody, and all hosts ask at the same time.
   */
  private static final int QUICK_ROUNDS = 4;

  /** How often the interval is doubled after that: to a second or less with the usual bounds. */
  private static final int MAX_DOUBLINGS = 2;

  /** Sent as the revision that this host knows so that a peer tells only its own. */
  private static final long ANY_REVISION = Long.MAX_VALUE;

  /** Maximum log lines a second about peers that did not reply. */
  private static final int MAX_LINES_PER_SECOND = 3;

  private final HostIdentity self;
  private final PeerNetwork network;
  private final StorePeers peers;
  private final RouteStore routes;
  private final ConfigurationReader configuration;
  private final EndpointReader endpoints;
  private final Random random;
  private final HostClock clock;
  private final HostLog log;
  private final Set<HostAddress> pendingPeers = new HashSet<>();
  private final Set<HostAddress> pendingFetches = new HashSet<>();
  private final LogRateLimiter logLimiter = new LogRateLimiter(MAX_LINES_PER_SECOND);
  private final PeerPositions peerPositions = new PeerPositions();
  private HostAddress lastConfirming;

  /** Rounds of queries since a peer last knew enough. */
  private int rounds;

  private volatile Executor eventLoop;

  PeerStoreSync(
      HostIdentity self,
      PeerNetwork network,
      StorePeers peers,
      RouteStore routes,
      StoreReader store,
      Random random,
      HostClock clock,
      HostLog log) {
    this.self = self;
    this.network = network;
    this.peers = peers;
    this.routes = routes;
    this.configuration = store.configuration();
    this.endpoints = store.endpoints();
    this.random = random;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Starts polling.
   *
   * @param loop the event loop on which it polls
   * @param timer runs steps on that loop
   * @param times the times at present
   */
  void start(Executor loop, Timer timer, Supplier<StoreTimes> times) {
    eventLoop = loop;
    queryLeaderLater(timer, times);
    queryPeersLater(timer, times);
  }

  private void queryLeaderLater(Timer timer, Supplier<StoreTimes> times) {
    timer.runAfter(
        times.get().queryMs(),
        () -> {
          HostAddress leader = peers.zoneLeader();
          if (leader != null) {
            query(leader);
          }
          queryLeaderLater(timer, times);
        });
  }

  private void queryPeersLater(Timer timer, Supplier<StoreTimes> present) {
    StoreTimes times = present.get();
    int doublings = Math.max(0, Math.min(MAX_DOUBLINGS, rounds - QUICK_ROUNDS));
    timer.runAfter(
        Math.max(times.peersQueryMs() << doublings, untilPeersAreNeededMs(times)),
        () -> {
          if (untilPeersAreNeededMs(times) <= 0) {
            rounds++;
            queryPeers();
          } else {
            rounds = 0;
          }
          queryPeersLater(timer, present);
        });
  }

  private long untilPeersAreNeededMs(StoreTimes times) {
    long nowMs = clock.nowMs();
    return Math.min(
        times.configurationPeersAgeMs() - routes.ageMs(nowMs),
        times.endpointsPeersAgeMs() - endpoints.ageMs(nowMs));
  }

  /**
   * Asks some peers what they know, first the one that last had newer evidence, last those from
   * which nothing arrives. Those that have not yet replied are passed over, so that they keep no
   * other from being asked. A host without any configuration gets it from one at a time.
   */
  private void queryPeers() {
    List<HostAddress> others = new ArrayList<>();
    peers.livePeers().forEach(peer -> others.add(peer.address()));
    Collections.shuffle(others, random);
    if (others.remove(lastConfirming)) {
      others.add(0, lastConfirming);
    }
    List<HostAddress> silent = new ArrayList<>(peers.silentPeers());
    Collections.shuffle(silent, random);
    others.addAll(silent);
    others.removeAll(pendingPeers);
    if (routes.table().revision() < 0) {
      others.stream().limit(1).forEach(this::query);
    } else {
      others.stream().limit(PEERS_AT_A_TIME).forEach(peer -> query(peer, ANY_REVISION));
    }
  }

  @Override
  public void peerUpdated(FleetMember peer, StorePositions positions) {
    routes.drains().offer(positions.zoneDrains(), peer.identity().toString());
    boolean endpointsChanged =
        peerPositions.positionReported(peer, positions.endpointsChanged(), endpoints.knownEnd());
    boolean newer =
        endpointsChanged || positions.configurationRevision() > routes.table().revision();
    Executor loop = eventLoop;
    if (newer && loop != null) {
      loop.execute(() -> query(peer.address()));
    }
  }

  /** Queries a peer for all that is newer than here, unless a query to it is pending. */
  private void query(HostAddress peer) {
    query(peer, routes.table().revision());
  }

  private void query(HostAddress peer, long knownRevision) {
    if (!pendingPeers.add(peer)) {
      return;
    }
    PeerPositions.Query query = peerPositions.query(peer, endpoints.knownEnd());
    KnowledgeRequest request =
        KnowledgeRequest.newBuilder()
            .setConfigurationRevision(knownRevision)
            .setEndpointsEra(query.known().epoch())
            .setEndpointsEnd(query.known().offset())
            .build();
    long queriedMs = clock.nowMs();
    network
        .request(peer, PeerCodec.newMessage(self).setKnowledgeRequest(request))
        .whenComplete(
            (reply, failure) ->
                eventLoop.execute(() -> replyReceived(peer, query, queriedMs, reply, failure)));
  }

  private void replyReceived(
      HostAddress peer,
      PeerPositions.Query query,
      long queriedMs,
      PeerMessage reply,
      Throwable failure) {
    pendingPeers.remove(peer);
    pendingFetches.remove(peer);
    if (failure == null) {
      applyConfiguration(reply.getKnowledgeReply(), queriedMs, peer);
      fetchNewer(reply.getKnowledgeReply(), peer);
      if (query.isAnsweredBy(reply.getFromIncarnation())) {
        applyEndpoints(reply.getKnowledgeReply(), queriedMs);
        peerPositions.replyApplied(peer, query);
      }
    } else if (logLimiter.tryAcquire(clock.nowMs())) {
      log.event(LogEvent.PEER_STATE_UNAVAILABLE, peer, String.valueOf(failure));
    }
  }

  /** Fetches the configuration that a peer has told of, unless enough others are sending one. */
  private void fetchNewer(KnowledgeReply reply, HostAddress peer) {
    boolean newer = reply.getConfigurationRevision() > routes.table().revision();
    if (newer && !reply.hasConfiguration() && pendingFetches.size() < MAX_FETCHES) {
      pendingFetches.add(peer);
      query(peer);
    }
  }

  private void applyConfiguration(KnowledgeReply reply, long queriedMs, HostAddress peer) {
    // A peer with older drains cannot confirm that no newer record exists.
    boolean drainsKnown =
        reply.hasZoneDrains()
            && routes.drains().offer(ZoneDrains.read(reply.getZoneDrains()), peer.toString());
    boolean decoded =
        !reply.hasConfiguration()
            || configuration.apply(record(reply.getConfiguration()), peer.toString());
    boolean upToDate = routes.table().revision() >= reply.getConfigurationRevision();
    // A peer that reads the store of an earlier epoch cannot confirm a configuration for a host
    // that knows a later one.
    boolean oldEpoch = reply.getEndpointsEra() < endpoints.knownEnd().epoch();
    boolean current = decoded && upToDate && drainsKnown && !oldEpoch;
    if (current && reply.getConfigurationAgeMs() >= 0) {
      confirm(queriedMs - reply.getConfigurationAgeMs(), peer);
    }
  }

  private void confirm(long atMs, HostAddress peer) {
    long nowMs = clock.nowMs();
    if (nowMs - atMs < routes.ageMs(nowMs)) {
      lastConfirming = peer;
    }
    routes.confirm(atMs);
  }

  private void applyEndpoints(KnowledgeReply reply, long queriedMs) {
    StorePosition end = new StorePosition(reply.getEndpointsEra(), reply.getEndpointsEnd());
    if (endpoints.knownEnd().isAfter(end) || !end.isKnown() || reply.getEndpointsAgeMs() < 0) {
      return;
    }
    long confirmedMs = queriedMs - reply.getEndpointsAgeMs();
    if (reply.getEndpointsLeftOut()) {
      endpoints.confirm(end, confirmedMs);
      return;
    }
    List<KeyedRecord> records =
        reply.getEndpointsList().stream().map(PeerStoreSync::record).toList();
    KeyedPage page = new KeyedPage(records, end.offset(), end.epoch());
    if (reply.getEndpointsChangesOnly()) {
      endpoints.applyChanges(page, confirmedMs);
    } else {
      endpoints.applySnapshot(page, confirmedMs);
    }
  }

  @Override
  public PeerMessage.Builder reply(KnowledgeRequest request) {
    long nowMs = clock.nowMs();
    long ageMs = routes.ageMs(nowMs);
    StorePosition end = endpoints.knownEnd();
    StorePosition peerPosition =
        new StorePosition(request.getEndpointsEra(), request.getEndpointsEnd());
    boolean unchanged =
        end.epoch() == peerPosition.epoch() && !endpoints.lastChange().isAfter(peerPosition);
    KnowledgeReply.Builder reply =
        KnowledgeReply.newBuilder()
            .setConfigurationAgeMs(ageMs)
            .setConfigurationRevision(routes.table().revision())
            .setEndpointsEra(end.epoch())
            .setEndpointsEnd(end.offset())
            .setEndpointsAgeMs(end.isKnown() ? endpoints.ageMs(nowMs) : -1)
            .setEndpointsLeftOut(unchanged);
    // Read after the age, so that they are at least as new.
    ZoneDrains known = routes.drains().current();
    if (known.position().isKnown()) {
      reply.setZoneDrains(known.write());
    }
    KeyedRecord newest = configuration.newest();
    if (newest != null && routes.table().revision() > request.getConfigurationRevision()) {
      reply.setConfiguration(record(newest));
    }
    if (!unchanged) {
      Optional<List<KeyedRecord>> changes = endpoints.changesSince(peerPosition);
      reply.setEndpointsChangesOnly(changes.isPresent());
      changes.orElseGet(endpoints::records).forEach(changed -> reply.addEndpoints(record(changed)));
    }
    return PeerCodec.newMessage(self).setKnowledgeReply(reply);
  }

  private static StoreRecord record(KeyedRecord record) {
    return StoreRecord.newBuilder()
        .setOffset(record.offset())
        .setKey(record.key())
        .setValue(ByteString.copyFrom(record.value()))
        .build();
  }

  private static KeyedRecord record(StoreRecord record) {
    return new KeyedRecord(record.getOffset(), record.getKey(), record.getValue().toByteArray());
  }
}
