// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.fawndrum.coordination.engine.EngineJob;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetOverlay;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.protocol.FleetCodec;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.wire.FleetNews;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.protocol.wire.WorkReport;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.LatencyTargets;

/**
 * Measures what a host that does not forward reports spends on the messages of its zone leader, by
 * the number of hosts. Each host sends a heartbeat a second, and changes of its work to one zone.
 */
final class FleetSlope {
  private static final int[] HOSTS = {6, 30, 82};
  private static final int ZONES = 3;
  private static final int JOBS_PER_HOST = 2;
  private static final int CHANGES_PER_HOST = 8;
  private static final int MESSAGES_PER_SECOND = 70;
  private static final int WARM_UP_SECONDS = 100;
  private static final int SECONDS = 100;
  private static final long MS_PER_SECOND = 1_000;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final int PORT = 7_420;

  private final int hosts;
  private final FleetOverlay overlay;
  private long sequence;
  private long bytes;
  private long reports;
  private long decodeNanos;
  private long applyNanos;

  private FleetSlope(int hosts) {
    this.hosts = hosts;
    this.overlay = new FleetOverlay(member(0), new IgnoredChanges());
  }

  /** Prints a line for each number of hosts. */
  static void print() {
    System.out.println();
    System.out.println("messages of the zone leader at a host of its zone, one second, warm code");
    System.out.println("hosts  messages  reports    bytes  microseconds: decode   apply");
    for (int hosts : HOSTS) {
      FleetSlope slope = new FleetSlope(hosts);
      slope.run(0, WARM_UP_SECONDS);
      slope.bytes = 0;
      slope.reports = 0;
      slope.decodeNanos = 0;
      slope.applyNanos = 0;
      slope.run(WARM_UP_SECONDS, WARM_UP_SECONDS + SECONDS);
      System.out.printf(
          Locale.ROOT,
          "%5d %9d %8d %8d %21.0f %7.0f%n",
          hosts,
          MESSAGES_PER_SECOND,
          slope.reports / SECONDS,
          slope.bytes / SECONDS,
          slope.decodeNanos / NANOS_PER_MICRO / SECONDS,
          slope.applyNanos / NANOS_PER_MICRO / SECONDS);
    }
  }

  private void run(int fromSecond, int toSecond) {
    for (int second = fromSecond; second < toSecond; second++) {
      List<FleetReport> due = reportsOfSecond(second * MS_PER_SECOND);
      for (int message = 0; message < MESSAGES_PER_SECOND; message++) {
        long nowMs = second * MS_PER_SECOND + message * MS_PER_SECOND / MESSAGES_PER_SECOND;
        int from = message * due.size() / MESSAGES_PER_SECOND;
        int to = (message + 1) * due.size() / MESSAGES_PER_SECOND;
        receive(encode(due.subList(from, to), nowMs), nowMs);
      }
    }
  }

  private List<FleetReport> reportsOfSecond(long nowMs) {
    List<FleetReport> due = new ArrayList<>();
    for (int host = 1; host < hosts; host++) {
      List<EngineUpdate> work = new ArrayList<>();
      for (int job = 0; job < JOBS_PER_HOST; job++) {
        work.add(new EngineUpdate.Placed(job(host, job, nowMs)));
      }
      FleetMember member = member(host);
      due.add(
          new FleetReport(
              member.identity(),
              Optional.of(member),
              ++sequence,
              FleetReport.ALL_ZONES,
              true,
              work));
    }
    int changes = hosts * CHANGES_PER_HOST / ZONES;
    for (int change = 0; change < changes; change++) {
      FleetMember member = member(1 + change % (hosts - 1));
      List<EngineUpdate> update = List.of(new EngineUpdate.Completed(change, false));
      due.add(
          new FleetReport(
              member.identity(), Optional.empty(), ++sequence, member.zone(), false, update));
    }
    return due;
  }

  private byte[] encode(List<FleetReport> sent, long nowMs) {
    FleetNews.Builder news = FleetNews.newBuilder().setSender(FleetCodec.write(member(1)));
    sent.forEach(report -> news.addReports(FleetCodec.write(report, nowMs)));
    return PeerCodec.newMessage(member(1).identity()).setFleetNews(news).build().toByteArray();
  }

  private void receive(byte[] message, long nowMs) {
    bytes += message.length;
    long startNanos = System.nanoTime();
    PeerMessage decoded = PeerCodec.read(message);
    List<FleetReport> received = new ArrayList<>();
    for (WorkReport report : decoded.getFleetNews().getReportsList()) {
      received.add(FleetCodec.read(report, nowMs));
    }
    long decodedNanos = System.nanoTime();
    overlay.receivedFrom(FleetCodec.read(decoded.getFleetNews().getSender()), false, nowMs);
    received.forEach(report -> overlay.accept(report, nowMs));
    overlay.zoneLeader(nowMs);
    overlay.issuers().check(nowMs);
    applyNanos += System.nanoTime() - decodedNanos;
    decodeNanos += decodedNanos - startNanos;
    reports += received.size();
  }

  private static FleetMember member(int host) {
    return new FleetMember(
        new HostIdentity("host-" + host, 1),
        new HostAddress("10.0.0." + host, PORT),
        "zone-" + host % ZONES,
        host);
  }

  private static EngineJob job(int host, int number, long nowMs) {
    return new EngineJob(
        host * JOBS_PER_HOST + number,
        new HostIdentity("engine-" + host, 1),
        2_000,
        2_200,
        1,
        true,
        new LatencyTargets(300, 250, 0),
        nowMs);
  }

  /** Ignores which hosts come and go. */
  private static final class IgnoredChanges implements FleetOverlay.Watcher {
    @Override
    public void appeared(FleetMember member) {}

    @Override
    public void gone(FleetMember member, long silentMs) {}
  }
}
