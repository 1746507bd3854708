// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.engine.EngineJob;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.protocol.wire.DaemonPlace;
import org.fawndrum.protocol.wire.EndpointStart;
import org.fawndrum.protocol.wire.WorkPlaced;
import org.fawndrum.protocol.wire.WorkReport;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.RequestAims;

/** Reads and writes what daemons tell each other about themselves and their work at endpoints. */
public final class FleetCodec {
  private FleetCodec() {}

  /** Returns a daemon as a message. */
  public static DaemonPlace write(FleetMember member) {
    return DaemonPlace.newBuilder()
        .setHost(member.identity().host())
        .setIncarnation(member.identity().incarnation())
        .setZone(member.zone())
        .setIp(member.address().ip())
        .setPort(member.address().port())
        .setCapacity(member.capacity())
        .build();
  }

  /** Returns the daemon in a message. */
  public static FleetMember read(DaemonPlace place) {
    return new FleetMember(
        identity(place),
        new HostAddress(place.getIp(), place.getPort()),
        place.getZone(),
        place.getCapacity());
  }

  private static HostIdentity identity(DaemonPlace place) {
    return new HostIdentity(place.getHost(), place.getIncarnation());
  }

  /** Returns starts of endpoints as messages. */
  public static List<EndpointStart> writeEndpoints(List<HostIdentity> endpoints) {
    return endpoints.stream()
        .map(
            one ->
                EndpointStart.newBuilder()
                    .setHost(one.host())
                    .setIncarnation(one.incarnation())
                    .build())
        .toList();
  }

  /** Returns the starts of endpoints in messages. */
  public static List<HostIdentity> readEndpoints(List<EndpointStart> messages) {
    return messages.stream()
        .map(one -> new HostIdentity(one.getHost(), one.getIncarnation()))
        .toList();
  }

  /** Returns a report as a message; times are written as ages, because clocks differ. */
  public static WorkReport write(FleetReport report, long nowMs) {
    WorkReport.Builder message =
        WorkReport.newBuilder()
            .setSequence(report.sequence())
            .setAboutZone(report.zone())
            .setWhole(report.whole());
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
    report.news().forEach(one -> write(message, one, nowMs));
    return message.build();
  }

  private static void write(WorkReport.Builder message, EngineNews news, long nowMs) {
    if (news instanceof EngineNews.Placed placed) {
      message.addPlaced(placed(placed.job(), nowMs));
    } else if (news instanceof EngineNews.Read read) {
      message.addRead(read.id());
    } else if (news instanceof EngineNews.Ended ended && ended.failed()) {
      message.addFailed(ended.id());
    } else if (news instanceof EngineNews.Ended ended) {
      message.addEnded(ended.id());
    }
  }

  private static WorkPlaced placed(EngineJob job, long nowMs) {
    return WorkPlaced.newBuilder()
        .setId(job.id())
        .setEndpoint(job.endpoint().host())
        .setEndpointIncarnation(job.endpoint().incarnation())
        .setPromptTokens(job.promptTokens())
        .setMemoryTokens(job.memoryTokens())
        .setParts(job.parts())
        .setWrites(job.writes())
        .setFirstTokenAimMs(job.aims().firstTokenMs())
        .setPauseAimMs(job.aims().pauseMs())
        .setAgeMs(nowMs - job.sentMs())
        .build();
  }

  /** Returns the report in a message, its news in an order in which each can be understood. */
  public static FleetReport read(WorkReport message, long nowMs) {
    List<EngineNews> news = new ArrayList<>();
    for (WorkPlaced one : message.getPlacedList()) {
      news.add(new EngineNews.Placed(job(one, nowMs)));
    }
    message.getReadList().forEach(id -> news.add(new EngineNews.Read(id)));
    message.getEndedList().forEach(id -> news.add(new EngineNews.Ended(id, false)));
    message.getFailedList().forEach(id -> news.add(new EngineNews.Ended(id, true)));
    Optional<FleetMember> member =
        message.getWhole() ? Optional.of(read(message.getDaemon())) : Optional.empty();
    return new FleetReport(
        identity(message.getDaemon()),
        member,
        message.getSequence(),
        message.getAboutZone(),
        message.getWhole(),
        news);
  }

  private static EngineJob job(WorkPlaced one, long nowMs) {
    return new EngineJob(
        one.getId(),
        new HostIdentity(one.getEndpoint(), one.getEndpointIncarnation()),
        one.getPromptTokens(),
        one.getMemoryTokens(),
        Math.max(1, one.getParts()),
        one.getWrites(),
        new RequestAims(one.getFirstTokenAimMs(), one.getPauseAimMs(), 0),
        nowMs - Math.max(0, one.getAgeMs()));
  }
}
