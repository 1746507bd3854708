// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.Set;
import java.util.stream.Collectors;
import org.fawndrum.coordination.crash.CrashNews;
import org.fawndrum.coordination.crash.EndpointCrash;
import org.fawndrum.coordination.crash.RefusedRequest;
import org.fawndrum.coordination.crash.RequestFingerprint;
import org.fawndrum.coordination.crash.ServedRequest;
import org.fawndrum.coordination.crash.SpentTurn;
import org.fawndrum.coordination.crash.SuspectTurn;
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
   * @param whole whether the updates are everything that this host knows
   */
  public static CrashReport write(CrashNews updates, boolean whole, long nowMs) {
    CrashReport.Builder report = CrashReport.newBuilder().setWhole(whole).setHops(updates.hops());
    for (EndpointCrash crash : updates.crashes()) {
      CrashRecord.Builder message =
          CrashRecord.newBuilder()
              .setEndpoint(crash.endpoint().host())
              .setEndpointIncarnation(crash.endpoint().incarnation())
              .setTakenAgeMs(nowMs - crash.takenMs())
              .setAgeMs(nowMs - crash.atMs());
      crash.under().forEach(request -> message.addUnder(write(request)));
      report.addCrashes(message);
    }
    for (ServedRequest served : updates.served()) {
      report.addServed(
          ServedRecord.newBuilder()
              .setRequest(write(served.request()))
              .setAgeMs(nowMs - served.atMs()));
    }
    for (RefusedRequest refused : updates.refused()) {
      report.addRefused(
          RefusedRecord.newBuilder()
              .setRequest(write(refused.request()))
              .setAgeMs(nowMs - refused.sinceMs())
              .addAllEndpoints(refused.endpoints()));
    }
    for (SuspectTurn lease : updates.turns()) {
      report.addTurns(leaseRecord(lease.request(), lease.host()).setAgeMs(nowMs - lease.atMs()));
    }
    for (SpentTurn lease : updates.spent()) {
      report.addSpent(
          leaseRecord(lease.request(), lease.host())
              .setAgeMs(nowMs - lease.atMs())
              .setSpent(lease.turns()));
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
  public static CrashNews read(CrashReport report, long nowMs) {
    return new CrashNews(
        report.getCrashesList().stream().map(message -> crash(message, nowMs)).toList(),
        report.getServedList().stream()
            .map(
                message ->
                    new ServedRequest(
                        read(message.getRequest()), timeOfAge(message.getAgeMs(), nowMs)))
            .toList(),
        report.getRefusedList().stream().map(message -> refused(message, nowMs)).toList(),
        report.getTurnsList().stream().map(message -> lease(message, nowMs)).toList(),
        report.getSpentList().stream().map(message -> spent(message, nowMs)).toList(),
        report.getHops());
  }

  private static SuspectTurn lease(TurnRecord message, long nowMs) {
    HostIdentity host = new HostIdentity(message.getHost(), message.getHostIncarnation());
    return new SuspectTurn(read(message.getRequest()), host, timeOfAge(message.getAgeMs(), nowMs));
  }

  private static SpentTurn spent(TurnRecord message, long nowMs) {
    SuspectTurn lastLease = lease(message, nowMs);
    return new SpentTurn(
        lastLease.request(), lastLease.host(), message.getSpent(), lastLease.atMs());
  }

  private static EndpointCrash crash(CrashRecord message, long nowMs) {
    HostIdentity endpoint =
        new HostIdentity(message.getEndpoint(), message.getEndpointIncarnation());
    Set<RequestFingerprint> under =
        message.getUnderList().stream().map(CrashCodec::read).collect(Collectors.toSet());
    return new EndpointCrash(
        endpoint,
        timeOfAge(message.getTakenAgeMs(), nowMs),
        timeOfAge(message.getAgeMs(), nowMs),
        under);
  }

  private static RefusedRequest refused(RefusedRecord message, long nowMs) {
    return new RefusedRequest(
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
