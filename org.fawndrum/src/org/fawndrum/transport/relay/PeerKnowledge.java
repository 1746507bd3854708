// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import com.google.protobuf.ByteString;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.KeyedPage.KeyedRecord;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.protocol.wire.KnowledgeReply;
import org.fawndrum.protocol.wire.KnowledgeRequest;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.protocol.wire.StoreRecord;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.peer.PeerNetwork;

/**
 * Asks other daemons for what the store holds: the speaker of the zone as a rule, any other one
 * where that is not enough. What a peer proves counts from when it was asked, less the age that it
 * names, so that no clock but the own one matters. Confined to one event loop, but for {@link
 * #reply} and {@link #told}, which all threads may call.
 */
final class PeerKnowledge implements FleetReceiver.Knowledge {
  /**
   * How often the speaker is asked, as a part of the drain bound: with the speaker's own pause less
   * than the age at which a host reads the store itself.
   */
  private static final double LOOK_PART = 0.25;

  /** When the own knowledge is older than this, any peer is asked, in milliseconds. */
  private static final long STALE_MS = 2_200;

  private final HostIdentity self;
  private final PeerNetwork network;
  private final FleetDuty fleet;
  private final RouteStore routes;
  private final ConfigurationReader configuration;
  private final EndpointReader endpoints;
  private final HostClock clock;
  private final HostLog log;
  private final Set<HostAddress> asked = new HashSet<>();
  private final PeerViews views = new PeerViews();
  private volatile Context loop;

  PeerKnowledge(
      HostIdentity self,
      PeerNetwork network,
      FleetDuty fleet,
      RouteStore routes,
      ConfigurationReader configuration,
      EndpointReader endpoints,
      HostClock clock,
      HostLog log) {
    this.self = self;
    this.network = network;
    this.fleet = fleet;
    this.routes = routes;
    this.configuration = configuration;
    this.endpoints = endpoints;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Begins to ask.
   *
   * @param drainMs the drain bound, in milliseconds
   */
  void start(Vertx vertx, long drainMs) {
    loop = vertx.getOrCreateContext();
    vertx.setPeriodic(Math.max(1, Math.round(drainMs * LOOK_PART)), id -> look());
  }

  private void look() {
    HostAddress speaker = fleet.speaker();
    if (speaker != null) {
      ask(speaker);
    }
    long nowMs = clock.nowMs();
    boolean stale = routes.ageMs(nowMs) > STALE_MS || endpoints.ageMs(nowMs) > STALE_MS;
    List<HostAddress> known = fleet.alive();
    if (stale && !known.isEmpty()) {
      ask(known.get(ThreadLocalRandom.current().nextInt(known.size())));
    }
  }

  @Override
  public void told(FleetMember peer, StoreView view) {
    boolean endpointsChanged = views.told(peer, view.endpointsChanged(), endpoints.readTo());
    boolean newer = endpointsChanged || view.configurationRevision() > routes.table().revision();
    Context on = loop;
    if (newer && on != null) {
      on.runOnContext(v -> ask(peer.address()));
    }
  }

  /** Asks a peer, unless a question to it is still open. */
  private void ask(HostAddress peer) {
    if (!asked.add(peer)) {
      return;
    }
    PeerViews.Question question = views.question(peer, endpoints.readTo());
    KnowledgeRequest request =
        KnowledgeRequest.newBuilder()
            .setConfigurationRevision(routes.table().revision())
            .setEndpointsEra(question.known().era())
            .setEndpointsEnd(question.known().offset())
            .build();
    long askedMs = clock.nowMs();
    network
        .ask(peer, PeerCodec.from(self).setKnowledgeRequest(request))
        .whenComplete(
            (reply, failure) ->
                loop.runOnContext(v -> answered(peer, question, askedMs, reply, failure)));
  }

  private void answered(
      HostAddress peer,
      PeerViews.Question question,
      long askedMs,
      PeerMessage reply,
      Throwable failure) {
    asked.remove(peer);
    if (failure == null) {
      takeConfiguration(reply.getKnowledgeReply(), askedMs);
      if (question.isAnsweredBy(reply.getFromIncarnation())) {
        takeEndpoints(reply.getKnowledgeReply(), askedMs);
        views.taken(peer, question);
      }
    } else {
      log.event(LogEvent.PEER_GAVE_NOTHING, peer, String.valueOf(failure));
    }
  }

  private void takeConfiguration(KnowledgeReply reply, long askedMs) {
    boolean understood =
        !reply.hasConfiguration() || configuration.take(record(reply.getConfiguration()));
    boolean same = routes.table().revision() >= reply.getConfigurationRevision();
    // One that reads the store of before it went back proves nothing to one that knows better.
    boolean oldEra = reply.getEndpointsEra() < endpoints.readTo().era();
    if (understood && same && !oldEra && reply.getConfigurationAgeMs() >= 0) {
      routes.confirmed(askedMs - reply.getConfigurationAgeMs());
    }
  }

  private void takeEndpoints(KnowledgeReply reply, long askedMs) {
    StorePosition end = new StorePosition(reply.getEndpointsEra(), reply.getEndpointsEnd());
    if (endpoints.readTo().isAfter(end) || !end.isKnown() || reply.getEndpointsAgeMs() < 0) {
      return;
    }
    long provedMs = askedMs - reply.getEndpointsAgeMs();
    if (reply.getEndpointsLeftOut()) {
      endpoints.confirmed(end, provedMs);
      return;
    }
    List<KeyedRecord> records =
        reply.getEndpointsList().stream().map(PeerKnowledge::record).toList();
    KeyedPage page = new KeyedPage(records, end.offset(), end.era());
    if (reply.getEndpointsChangesOnly()) {
      endpoints.changes(page, provedMs);
    } else {
      endpoints.whole(page, provedMs);
    }
  }

  @Override
  public PeerMessage.Builder reply(KnowledgeRequest request) {
    long nowMs = clock.nowMs();
    long ageMs = routes.ageMs(nowMs);
    StorePosition end = endpoints.readTo();
    StorePosition known = new StorePosition(request.getEndpointsEra(), request.getEndpointsEnd());
    boolean leftOut = end.era() == known.era() && !endpoints.changedTo().isAfter(known);
    KnowledgeReply.Builder reply =
        KnowledgeReply.newBuilder()
            .setConfigurationAgeMs(ageMs)
            .setConfigurationRevision(routes.table().revision())
            .setEndpointsEra(end.era())
            .setEndpointsEnd(end.offset())
            .setEndpointsAgeMs(end.isKnown() ? endpoints.ageMs(nowMs) : -1)
            .setEndpointsLeftOut(leftOut);
    KeyedRecord newest = configuration.newest();
    if (newest != null && routes.table().revision() > request.getConfigurationRevision()) {
      reply.setConfiguration(record(newest));
    }
    if (!leftOut) {
      Optional<List<KeyedRecord>> changes = endpoints.changesSince(known);
      reply.setEndpointsChangesOnly(changes.isPresent());
      changes.orElseGet(endpoints::records).forEach(one -> reply.addEndpoints(record(one)));
    }
    return PeerCodec.from(self).setKnowledgeReply(reply);
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
