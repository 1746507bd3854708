// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import com.google.protobuf.ByteString;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.KeyedPage.KeyedRecord;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.wire.KnowledgeReply;
import org.fawndrum.protocol.wire.KnowledgeRequest;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.protocol.wire.StoreRecord;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.peer.PeerNetwork;

/**
 * Asks other daemons for what the store does not give this host: at a start in an outage, and while
 * the store turns this host away. What a peer proves counts from when it was asked, less the age
 * that it names, so that no clock but the own one matters. Confined to one event loop.
 */
final class PeerKnowledge {
  private static final long LOOK_MS = 500;

  /** When the own proof is older than this, a peer is asked, in milliseconds. */
  private static final long STALE_MS = 2_200;

  private final HostIdentity self;
  private final PeerNetwork network;
  private final Supplier<List<HostAddress>> peers;
  private final RouteStore routes;
  private final ConfigurationReader configuration;
  private final EndpointReader endpoints;
  private final HostClock clock;
  private final HostLog log;

  PeerKnowledge(
      HostIdentity self,
      PeerNetwork network,
      Supplier<List<HostAddress>> peers,
      RouteStore routes,
      ConfigurationReader configuration,
      EndpointReader endpoints,
      HostClock clock,
      HostLog log) {
    this.self = self;
    this.network = network;
    this.peers = peers;
    this.routes = routes;
    this.configuration = configuration;
    this.endpoints = endpoints;
    this.clock = clock;
    this.log = log;
  }

  void start(Vertx vertx) {
    Context loop = vertx.getOrCreateContext();
    vertx.setPeriodic(LOOK_MS, id -> look(loop));
  }

  private void look(Context loop) {
    boolean stale = routes.ageMs(clock.nowMs()) > STALE_MS || endpoints.readTo() < 0;
    List<HostAddress> known = peers.get();
    if (!stale || known.isEmpty()) {
      return;
    }
    HostAddress peer = known.get(ThreadLocalRandom.current().nextInt(known.size()));
    KnowledgeRequest request =
        KnowledgeRequest.newBuilder()
            .setConfigurationRevision(routes.table().revision())
            .setEndpointsEnd(endpoints.readTo())
            .build();
    long askedMs = clock.nowMs();
    network
        .ask(peer, PeerCodec.from(self).setKnowledgeRequest(request))
        .whenComplete(
            (reply, failure) ->
                loop.runOnContext(
                    v -> {
                      if (failure == null) {
                        take(reply.getKnowledgeReply(), askedMs);
                      } else {
                        log.event(LogEvent.PEER_GAVE_NOTHING, peer, String.valueOf(failure));
                      }
                    }));
  }

  private void take(KnowledgeReply reply, long askedMs) {
    boolean understood =
        !reply.hasConfiguration() || configuration.take(record(reply.getConfiguration()));
    boolean same = routes.table().revision() >= reply.getConfigurationRevision();
    if (understood && same && reply.getConfigurationAgeMs() >= 0) {
      routes.confirmed(askedMs - reply.getConfigurationAgeMs());
    }
    if (reply.getEndpointsEnd() > endpoints.readTo()) {
      List<KeyedRecord> records =
          reply.getEndpointsList().stream().map(PeerKnowledge::record).toList();
      endpoints.whole(new KeyedPage(records, reply.getEndpointsEnd()), askedMs);
    }
  }

  /** Returns what this host can tell another one. */
  PeerMessage.Builder reply(KnowledgeRequest request) {
    long ageMs = routes.ageMs(clock.nowMs());
    KnowledgeReply.Builder reply =
        KnowledgeReply.newBuilder()
            .setConfigurationAgeMs(routes.table().revision() < 0 ? -1 : ageMs)
            .setConfigurationRevision(routes.table().revision())
            .setEndpointsEnd(endpoints.readTo());
    KeyedRecord newest = configuration.newest();
    if (newest != null && routes.table().revision() > request.getConfigurationRevision()) {
      reply.setConfiguration(record(newest));
    }
    if (endpoints.readTo() > request.getEndpointsEnd()) {
      endpoints.records().forEach(one -> reply.addEndpoints(record(one)));
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
