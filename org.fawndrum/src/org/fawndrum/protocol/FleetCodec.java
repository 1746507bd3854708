// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.engine.EngineJob;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.protocol.wire.DaemonPlace;
import org.fawndrum.protocol.wire.EndpointStart;
import org.fawndrum.protocol.wire.WorkPlaced;
import org.fawndrum.protocol.wire.WorkReport;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.LatencyTargets;

/** Converts the reports that daemons exchange about themselves and their work at endpoints. */
public final class FleetCodec {
  private FleetCodec() {}

  /** Encodes a daemon. */
  public static DaemonPlace write(FleetMember member) {
    return DaemonPlace.newBuilder()
        .setHost(member.identity().host())
        .setIncarnation(member.identity().incarnation())
        .setZone(member.zone())
        .setIp(member.address().ip())
        .setPort(member.address().port())
        .setCapacity(member.capacity())
        .setIssuesPermits(member.issuesPermits())
        .setProxyPort(member.proxyPort())
        .build();
  }

  /** Decodes a daemon. */
  public static FleetMember read(DaemonPlace place) {
    return new FleetMember(
        identity(place),
        new HostAddress(place.getIp(), place.getPort()),
        place.getZone(),
        place.getCapacity(),
        place.getIssuesPermits(),
        place.getProxyPort());
  }

  private static HostIdentity identity(DaemonPlace place) {
    return new HostIdentity(place.getHost(), place.getIncarnation());
  }

  /** Encodes incarnations of endpoints. */
  public static List<EndpointStart> writeEndpoints(List<HostIdentity> endpoints) {
    if (endpoints.isEmpty()) {
      return List.of();
    }
    return endpoints.stream()
        .map(
            endpoint ->
                EndpointStart.newBuilder()
                    .setHost(endpoint.host())
                    .setIncarnation(endpoint.incarnation())
                    .build())
        .toList();
  }

  /** Decodes incarnations of endpoints. */
  public static List<HostIdentity> readEndpoints(List<EndpointStart> messages) {
    if (messages.isEmpty()) {
      return List.of();
    }
    return messages.stream()
        .map(message -> new HostIdentity(message.getHost(), message.getIncarnation()))
        .toList();
  }

  /** Encodes a report; times are encoded as ages, because the clocks of hosts differ. */
  public static WorkReport write(FleetReport report, long nowMs) {
    WorkReport.Builder message =
        WorkReport.newBuilder()
            .setSequence(report.sequence())
            .setAboutZone(report.zone())
            .setWhole(report.complete());
    message.setDaemon(
        report
            .member()
            .map(FleetCodec::write)
            .orElseGet(
                () ->
                    DaemonPlace.newBuilder()
                        .setHost(report.from().host())
                        .setIncarnation(report.from().incarnation())
                        .build()));
    report.updates().forEach(update -> write(message, update, nowMs));
    return message.build();
  }

  private static void write(WorkReport.Builder message, EngineUpdate update, long nowMs) {
    if (update instanceof EngineUpdate.Placed placed) {
      message.addPlaced(placed(placed.job(), nowMs));
    } else if (update instanceof EngineUpdate.Prefilled prefilled) {
      message.addRead(prefilled.id());
    } else if (update instanceof EngineUpdate.Completed failed && failed.failed()) {
      message.addFailed(failed.id());
    } else if (update instanceof EngineUpdate.Completed completed) {
      message.addEnded(completed.id());
    }
  }

  private static WorkPlaced placed(EngineJob job, long nowMs) {
    return WorkPlaced.newBuilder()
        .setId(job.id())
        .setEndpoint(job.endpoint().host())
        .setEndpointIncarnation(job.endpoint().incarnation())
        .setPromptTokens(job.promptTokens())
        .setMemoryTokens(job.memoryTokens())
        .setParts(job.segments())
        .setWrites(job.decodes())
        .setFirstTokenAimMs(job.latencyTargets().firstTokenMs())
        .setPauseAimMs(job.latencyTargets().pauseMs())
        .setAgeMs(nowMs - job.sentMs())
        .build();
  }

  /** Decodes a report; a placement precedes the updates that refer to it. */
  public static FleetReport read(WorkReport message, long nowMs) {
    List<EngineUpdate> updates = new ArrayList<>();
    for (WorkPlaced placement : message.getPlacedList()) {
      updates.add(new EngineUpdate.Placed(job(placement, nowMs)));
    }
    for (int i = 0; i < message.getReadCount(); i++) {
      updates.add(new EngineUpdate.Prefilled(message.getRead(i)));
    }
    for (int i = 0; i < message.getEndedCount(); i++) {
      updates.add(new EngineUpdate.Completed(message.getEnded(i), false));
    }
    for (int i = 0; i < message.getFailedCount(); i++) {
      updates.add(new EngineUpdate.Completed(message.getFailed(i), true));
    }
    Optional<FleetMember> member =
        message.getWhole() ? Optional.of(read(message.getDaemon())) : Optional.empty();
    return new FleetReport(
        identity(message.getDaemon()),
        member,
        message.getSequence(),
        message.getAboutZone(),
        message.getWhole(),
        updates);
  }

  private static EngineJob job(WorkPlaced placement, long nowMs) {
    return new EngineJob(
        placement.getId(),
        new HostIdentity(placement.getEndpoint(), placement.getEndpointIncarnation()),
        placement.getPromptTokens(),
        placement.getMemoryTokens(),
        Math.max(1, placement.getParts()),
        placement.getWrites(),
        new LatencyTargets(placement.getFirstTokenAimMs(), placement.getPauseAimMs(), 0),
        nowMs - Math.max(0, placement.getAgeMs()));
  }
}
