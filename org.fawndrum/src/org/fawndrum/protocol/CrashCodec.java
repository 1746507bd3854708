// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.Set;
import java.util.stream.Collectors;
import org.fawndrum.coordination.crash.AnsweredRequest;
import org.fawndrum.coordination.crash.CrashUpdate;
import org.fawndrum.coordination.crash.EndpointCrash;
import org.fawndrum.coordination.crash.ExecutionLease;
import org.fawndrum.coordination.crash.InconclusiveRuns;
import org.fawndrum.coordination.crash.RejectedRequest;
import org.fawndrum.coordination.crash.RequestFingerprint;
import org.fawndrum.protocol.wire.CrashRecord;
import org.fawndrum.protocol.wire.CrashReport;
import org.fawndrum.protocol.wire.Fingerprint;
import org.fawndrum.protocol.wire.RefusedRecord;
import org.fawndrum.protocol.wire.ServedRecord;
import org.fawndrum.protocol.wire.TurnRecord;
import org.fawndrum.state.HostIdentity;

/**
 * Converts the updates about endpoint crashes that daemons exchange. Times are encoded as ages,
 * because the clocks of hosts differ.
 */
public final class CrashCodec {
  private CrashCodec() {}

  /**
   * Encodes updates.
   *
   * @param complete whether the updates contain everything that this host knows
   */
  public static CrashReport write(CrashUpdate updates, boolean complete, long nowMs) {
    CrashReport.Builder report =
        CrashReport.newBuilder().setWhole(complete).setHops(updates.hops());
    for (EndpointCrash crash : updates.crashes()) {
      CrashRecord.Builder message =
          CrashRecord.newBuilder()
              .setEndpoint(crash.endpoint().host())
              .setEndpointIncarnation(crash.endpoint().incarnation())
              .setTakenAgeMs(nowMs - crash.lastSentMs())
              .setAgeMs(nowMs - crash.atMs());
      crash.requests().forEach(request -> message.addUnder(write(request)));
      crash.parts().forEach(part -> message.addParts(write(part)));
      report.addCrashes(message);
    }
    for (AnsweredRequest answered : updates.answered()) {
      report.addServed(
          ServedRecord.newBuilder()
              .setRequest(write(answered.request()))
              .setAgeMs(nowMs - answered.atMs()));
    }
    for (RejectedRequest rejected : updates.rejected()) {
      report.addRefused(
          RefusedRecord.newBuilder()
              .setRequest(write(rejected.request()))
              .setAgeMs(nowMs - rejected.sinceMs())
              .addAllEndpoints(rejected.endpoints()));
    }
    for (ExecutionLease lease : updates.leases()) {
      report.addTurns(leaseRecord(lease.request(), lease.host()).setAgeMs(nowMs - lease.atMs()));
    }
    for (InconclusiveRuns runs : updates.inconclusiveRuns()) {
      report.addSpent(
          leaseRecord(runs.request(), runs.host())
              .setAgeMs(nowMs - runs.lastStartedMs())
              .setSpent(runs.count()));
    }
    return report.build();
  }

  private static TurnRecord.Builder leaseRecord(RequestFingerprint request, HostIdentity host) {
    return TurnRecord.newBuilder()
        .setRequest(write(request))
        .setHost(host.host())
        .setHostIncarnation(host.incarnation());
  }

  private static Fingerprint write(RequestFingerprint request) {
    return Fingerprint.newBuilder()
        .setBytes(request.bytes())
        .setHigh(request.high())
        .setLow(request.low())
        .build();
  }

  /** Decodes updates; a time in the future is replaced by the current time. */
  public static CrashUpdate read(CrashReport report, long nowMs) {
    return new CrashUpdate(
        report.getCrashesList().stream().map(message -> crash(message, nowMs)).toList(),
        report.getServedList().stream()
            .map(
                message ->
                    new AnsweredRequest(
                        read(message.getRequest()), timeOfAge(message.getAgeMs(), nowMs)))
            .toList(),
        report.getRefusedList().stream().map(message -> rejected(message, nowMs)).toList(),
        report.getTurnsList().stream().map(message -> lease(message, nowMs)).toList(),
        report.getSpentList().stream().map(message -> inconclusiveRuns(message, nowMs)).toList(),
        report.getHops());
  }

  private static ExecutionLease lease(TurnRecord message, long nowMs) {
    HostIdentity host = new HostIdentity(message.getHost(), message.getHostIncarnation());
    return new ExecutionLease(
        read(message.getRequest()), host, timeOfAge(message.getAgeMs(), nowMs));
  }

  private static InconclusiveRuns inconclusiveRuns(TurnRecord message, long nowMs) {
    ExecutionLease lastLease = lease(message, nowMs);
    return new InconclusiveRuns(
        lastLease.request(), lastLease.host(), message.getSpent(), lastLease.atMs());
  }

  private static EndpointCrash crash(CrashRecord message, long nowMs) {
    HostIdentity endpoint =
        new HostIdentity(message.getEndpoint(), message.getEndpointIncarnation());
    Set<RequestFingerprint> requests =
        message.getUnderList().stream().map(CrashCodec::read).collect(Collectors.toSet());
    return new EndpointCrash(
        endpoint,
        timeOfAge(message.getTakenAgeMs(), nowMs),
        timeOfAge(message.getAgeMs(), nowMs),
        requests,
        message.getPartsList().stream().map(CrashCodec::read).collect(Collectors.toSet()));
  }

  private static RejectedRequest rejected(RefusedRecord message, long nowMs) {
    return new RejectedRequest(
        read(message.getRequest()),
        timeOfAge(message.getAgeMs(), nowMs),
        message.getEndpointsList());
  }

  private static long timeOfAge(long ageMs, long nowMs) {
    return nowMs - Math.max(0, ageMs);
  }

  private static RequestFingerprint read(Fingerprint message) {
    return new RequestFingerprint(message.getBytes(), message.getHigh(), message.getLow());
  }
}
