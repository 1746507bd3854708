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
 * Reads and writes what daemons tell each other about endpoints that ended under requests. Times
 * are written as ages, because clocks differ.
 */
public final class CrashCodec {
  private CrashCodec() {}

  /**
   * Returns news as a message.
   *
   * @param whole whether these are all that is known here
   */
  public static CrashReport write(CrashNews news, boolean whole, long nowMs) {
    CrashReport.Builder report = CrashReport.newBuilder().setWhole(whole).setHops(news.hops());
    for (EndpointCrash crash : news.crashes()) {
      CrashRecord.Builder one =
          CrashRecord.newBuilder()
              .setEndpoint(crash.endpoint().host())
              .setEndpointIncarnation(crash.endpoint().incarnation())
              .setTakenAgeMs(nowMs - crash.takenMs())
              .setAgeMs(nowMs - crash.atMs());
      crash.under().forEach(request -> one.addUnder(write(request)));
      report.addCrashes(one);
    }
    for (ServedRequest served : news.served()) {
      report.addServed(
          ServedRecord.newBuilder()
              .setRequest(write(served.request()))
              .setAgeMs(nowMs - served.atMs()));
    }
    for (RefusedRequest refused : news.refused()) {
      report.addRefused(
          RefusedRecord.newBuilder()
              .setRequest(write(refused.request()))
              .setAgeMs(nowMs - refused.sinceMs())
              .addAllEndpoints(refused.endpoints()));
    }
    for (SuspectTurn turn : news.turns()) {
      report.addTurns(turn(turn.request(), turn.host()).setAgeMs(nowMs - turn.atMs()));
    }
    for (SpentTurn turn : news.spent()) {
      report.addSpent(
          turn(turn.request(), turn.host()).setAgeMs(nowMs - turn.atMs()).setSpent(turn.turns()));
    }
    return report.build();
  }

  private static TurnRecord.Builder turn(RequestFingerprint request, HostIdentity host) {
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

  /** Returns the news in a message; a time that lies ahead is taken for now. */
  public static CrashNews read(CrashReport report, long nowMs) {
    return new CrashNews(
        report.getCrashesList().stream().map(one -> crash(one, nowMs)).toList(),
        report.getServedList().stream()
            .map(one -> new ServedRequest(read(one.getRequest()), at(one.getAgeMs(), nowMs)))
            .toList(),
        report.getRefusedList().stream().map(one -> refused(one, nowMs)).toList(),
        report.getTurnsList().stream().map(one -> turn(one, nowMs)).toList(),
        report.getSpentList().stream().map(one -> spent(one, nowMs)).toList(),
        report.getHops());
  }

  private static SuspectTurn turn(TurnRecord one, long nowMs) {
    HostIdentity host = new HostIdentity(one.getHost(), one.getHostIncarnation());
    return new SuspectTurn(read(one.getRequest()), host, at(one.getAgeMs(), nowMs));
  }

  private static SpentTurn spent(TurnRecord one, long nowMs) {
    SuspectTurn last = turn(one, nowMs);
    return new SpentTurn(last.request(), last.host(), one.getSpent(), last.atMs());
  }

  private static EndpointCrash crash(CrashRecord one, long nowMs) {
    HostIdentity endpoint = new HostIdentity(one.getEndpoint(), one.getEndpointIncarnation());
    Set<RequestFingerprint> under =
        one.getUnderList().stream().map(CrashCodec::read).collect(Collectors.toSet());
    return new EndpointCrash(
        endpoint, at(one.getTakenAgeMs(), nowMs), at(one.getAgeMs(), nowMs), under);
  }

  private static RefusedRequest refused(RefusedRecord one, long nowMs) {
    return new RefusedRequest(
        read(one.getRequest()), at(one.getAgeMs(), nowMs), one.getEndpointsList());
  }

  private static long at(long ageMs, long nowMs) {
    return nowMs - Math.max(0, ageMs);
  }

  private static RequestFingerprint read(Fingerprint message) {
    return new RequestFingerprint(message.getBytes(), message.getHigh(), message.getLow());
  }
}
