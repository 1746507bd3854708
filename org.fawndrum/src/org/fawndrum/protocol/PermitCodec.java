// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.Collection;
import java.util.List;
import org.fawndrum.coordination.limit.EndpointRateLimits.Statement;
import org.fawndrum.coordination.limit.PermitDemand;
import org.fawndrum.coordination.limit.PermitGrant;
import org.fawndrum.protocol.wire.EndpointRate;
import org.fawndrum.protocol.wire.PermitDemandRecord;
import org.fawndrum.protocol.wire.PermitGrantRecord;

/** Converts what daemons tell each other about the rates that endpoints accept, and permits. */
public final class PermitCodec {
  private PermitCodec() {}

  /** Encodes statements; times are encoded as ages, because the clocks of hosts differ. */
  public static List<EndpointRate> writeRates(Collection<Statement> statements, long nowMs) {
    return statements.stream()
        .map(
            statement ->
                EndpointRate.newBuilder()
                    .setEndpoint(statement.endpoint())
                    .setPerSecond(statement.perSecond())
                    .setSentAgeMs(nowMs - statement.sentMs())
                    .setReceivedAgeMs(nowMs - statement.receivedMs())
                    .build())
        .toList();
  }

  /** Decodes statements; those without a usable rate or with times in the future are skipped. */
  public static List<Statement> readRates(List<EndpointRate> messages, long nowMs) {
    if (messages.isEmpty()) {
      return List.of();
    }
    return messages.stream()
        .filter(message -> message.getPerSecond() >= 0)
        .filter(message -> message.getReceivedAgeMs() >= 0)
        .filter(message -> message.getSentAgeMs() >= message.getReceivedAgeMs())
        .map(
            message ->
                new Statement(
                    message.getEndpoint(),
                    message.getPerSecond(),
                    nowMs - message.getSentAgeMs(),
                    nowMs - message.getReceivedAgeMs()))
        .toList();
  }

  /** Encodes a demand. */
  public static PermitDemandRecord write(PermitDemand demand) {
    return PermitDemandRecord.newBuilder()
        .setEndpoint(demand.endpoint())
        .setId(demand.id())
        .setPermits(demand.permits())
        .setUrgent(demand.urgent())
        .setUrgency(demand.urgency())
        .build();
  }

  /** Decodes demands. */
  public static List<PermitDemand> readDemands(List<PermitDemandRecord> messages) {
    return messages.stream()
        .map(
            message ->
                new PermitDemand(
                    message.getEndpoint(),
                    message.getId(),
                    message.getPermits(),
                    message.getUrgent(),
                    message.getUrgency()))
        .toList();
  }

  /** Encodes a grant. */
  public static PermitGrantRecord write(PermitGrant grant) {
    return PermitGrantRecord.newBuilder()
        .setEndpoint(grant.endpoint())
        .setDemandId(grant.demandId())
        .setPermits(grant.permits())
        .setSinceDemandMs(grant.sinceDemandMs())
        .setFirstMs(grant.firstMs())
        .setGapMs(grant.gapMs())
        .build();
  }

  /** Decodes grants. */
  public static List<PermitGrant> readGrants(List<PermitGrantRecord> messages) {
    return messages.stream()
        .map(
            message ->
                new PermitGrant(
                    message.getEndpoint(),
                    message.getDemandId(),
                    message.getPermits(),
                    message.getSinceDemandMs(),
                    message.getFirstMs(),
                    message.getGapMs()))
        .toList();
  }
}
