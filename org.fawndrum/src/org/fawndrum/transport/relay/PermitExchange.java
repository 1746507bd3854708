// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.fawndrum.coordination.EndpointRestrictions;
import org.fawndrum.coordination.limit.EndpointRateLimits;
import org.fawndrum.coordination.limit.EndpointRateLimits.Statement;
import org.fawndrum.coordination.limit.EndpointRates;
import org.fawndrum.coordination.limit.PermitDemand;
import org.fawndrum.coordination.limit.PermitGrant;
import org.fawndrum.coordination.limit.PermitIssuer;
import org.fawndrum.coordination.limit.PermitIssuer.Issued;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.IssuerSelector;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.PermitCodec;
import org.fawndrum.protocol.wire.PermitNews;

/**
 * Exchanges demands for permits and their answers with other daemons, and issues the permits that
 * are this daemon's to issue. Confined to the thread of {@link FleetDuty}; times are those of the
 * host's clock, in milliseconds.
 */
final class PermitExchange {
  /** Interval at which it is determined what this daemon may issue, in milliseconds. */
  private static final long REFRESH_MS = 50;

  private final FleetMember self;
  private final IssuerSelector issuers;
  private final EndpointRateLimits limits;
  private final EndpointRates rates;
  private final EndpointRates starts;
  private final RateReports rateReports;
  private final BiConsumer<Statement, String> rateLog;
  private final FleetMessenger messenger;
  private final FleetListener listener;
  private final HostLog log;
  private final PermitIssuer issuer = new PermitIssuer();
  private boolean established;
  private boolean stopped;
  private long nextRefreshMs;
  private volatile long issuedCount;

  PermitExchange(
      FleetMember self,
      IssuerSelector issuers,
      EndpointRestrictions restrictions,
      RateReports rateReports,
      BiConsumer<Statement, String> rateLog,
      FleetMessenger messenger,
      FleetListener listener,
      HostLog log) {
    this.self = self;
    this.issuers = issuers;
    this.limits = restrictions.rateLimits();
    this.rates = restrictions.rates();
    this.starts = restrictions.starts();
    this.rateReports = rateReports;
    this.rateLog = rateLog;
    this.messenger = messenger;
    this.listener = listener;
    this.log = log;
  }

  /** Sends demands of this host to the daemons that issue the permits. */
  void demandedHere(List<PermitDemand> demands, long nowMs) {
    refresh(nowMs);
    Map<FleetMember, PermitNews.Builder> messages = new LinkedHashMap<>();
    for (PermitDemand demand : demands) {
      FleetMember issuing = issuers.issuer(demand.endpoint(), nowMs);
      if (issuing == null) {
        listener.permitsGranted(List.of(PermitGrant.notIssued(demand)));
      } else if (isSelf(issuing)) {
        deliver(issuer.demanded(self, demand, nowMs));
      } else {
        messages
            .computeIfAbsent(issuing, to -> PermitNews.newBuilder())
            .addDemands(PermitCodec.write(demand));
      }
    }
    messages.forEach((to, message) -> messenger.send(message, to.address()));
  }

  /** Handles the demands and grants of another daemon. */
  void received(FleetEvent.PermitsReceived message, long nowMs) {
    if (!message.grants().isEmpty()) {
      listener.permitsGranted(message.grants());
    }
    if (!message.demands().isEmpty()) {
      refresh(nowMs);
      for (PermitDemand demand : message.demands()) {
        deliver(issuer.demanded(message.from(), demand, nowMs));
      }
    }
  }

  /** Issues the permits that are due. Returns when it is to be called again. */
  long tick(long nowMs) {
    refresh(nowMs);
    deliver(issuer.issueDue(nowMs));
    return issuer.nextDueMs(nowMs);
  }

  /** Applies the rates that another daemon reported; what is new to this one is forwarded. */
  void ratesReported(FleetMember from, List<Statement> statements, long nowMs) {
    for (Statement statement : statements) {
      if (limits.reported(statement)) {
        rateLog.accept(statement, from.identity().host());
        listener.rateChanged();
        rateChanged(statement.endpoint(), nowMs);
      }
    }
  }

  /** Has the next tick report a changed rate: other hosts send as before until then. */
  void rateChanged(String endpoint, long nowMs) {
    rateReports.changed(endpoint, nowMs);
    nextRefreshMs = 0;
  }

  /** Ends the issuing of permits, because this host shuts down; others take over at once. */
  void stop() {
    issuers.stop();
    stopped = true;
    nextRefreshMs = 0;
    messenger.stop();
  }

  /** Returns the number of permits issued. Safe for all threads. */
  long issuedCount() {
    return issuedCount;
  }

  /** Issues as much as the rates and the other daemons allow now. */
  private void refresh(long nowMs) {
    issuers.check(nowMs);
    if (!established && !stopped && issuers.isEstablished()) {
      established = true;
      messenger.issue();
      log.event(LogEvent.ISSUING_PERMITTED, issuers.knownCount(), issuers.unheardSeedCount());
    }
    if (nowMs < nextRefreshMs) {
      return;
    }
    nextRefreshMs = nowMs + REFRESH_MS;
    List<String> limited = rates.limited(nowMs);
    if (limited.isEmpty() && issuer.endpoints().isEmpty()) {
      return;
    }
    Set<String> endpoints = new HashSet<>(issuer.endpoints());
    endpoints.addAll(limited);
    for (String endpoint : endpoints) {
      double part = rates.isLimited(endpoint, nowMs) ? issuers.part(endpoint, nowMs) : 0;
      double perSecond = Math.max(PermitIssuer.MIN_PER_SECOND, rates.perSecond(endpoint, nowMs));
      // Each part of a fleet keeps no more than its part of one permit for an endpoint that starts.
      double maxKept = starts.isLimited(endpoint, nowMs) ? part : Double.POSITIVE_INFINITY;
      if (issuer.setRate(endpoint, part == 0 ? 0 : part * perSecond, maxKept, nowMs)) {
        log.event(LogEvent.PERMITS_ISSUED, endpoint, part == 0 ? 0 : perSecond, part);
      }
    }
  }

  private void deliver(List<Issued> issued) {
    issuedCount = issuer.issuedCount();
    Map<FleetMember, PermitNews.Builder> messages = new HashMap<>();
    for (Issued each : issued) {
      if (isSelf(each.to())) {
        listener.permitsGranted(List.of(each.grant()));
      } else {
        messages
            .computeIfAbsent(each.to(), to -> PermitNews.newBuilder())
            .addGrants(PermitCodec.write(each.grant()));
      }
    }
    messages.forEach((to, message) -> messenger.send(message, to.address()));
  }

  private boolean isSelf(FleetMember member) {
    return member.identity().equals(self.identity());
  }
}
