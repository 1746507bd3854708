// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.bench;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.LoadReport;
import org.fawndrum.coordination.LogReplay;
import org.fawndrum.coordination.Policies;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.RequestTarget;
import org.fawndrum.coordination.membership.MembershipSettings;
import org.fawndrum.coordination.membership.PeerFacts;
import org.fawndrum.coordination.membership.ZoneMembership;
import org.fawndrum.protocol.LoadDigest;
import org.fawndrum.protocol.LogCodec;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.SnapshotCodec;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Cell;
import org.fawndrum.state.CellChange;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.Publication;
import org.fawndrum.state.TableRevision;
import org.fawndrum.state.TableRevisionBuilder;

/** Measures how costs grow with the size of a deployment, for the capacity page. */
final class SlopeBench implements BenchCommand {
  private static final int[] ENDPOINTS = {24, 167, 667};
  private static final int[] ROWS = {10, 100, 1_400};
  private static final int[] DAEMONS = {8, 25, 60};
  private static final int[] CHANGES = {100, 1_000, 10_000};
  private static final int WARM_UP = 30_000;
  private static final int MEASURED = 60_000;
  private static final long MEMORY = 450_000;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final HostAddress UNUSED_ADDRESS = new HostAddress("10.0.0.1", 7_420);

  @Override
  public int call() {
    decisions();
    heartbeats();
    FleetSlope.print();
    tableBytes();
    catchUp();
    return 0;
  }

  private static CallerGroup group(int row) {
    return new CallerGroup("workspace-" + row, "chat");
  }

  private static TableRevision table(int rows) {
    TableRevisionBuilder builder = new TableRevisionBuilder(0, 0);
    for (int row = 0; row < rows; row++) {
      for (Column column : Column.values()) {
        if (!column.defaultValue().isEmpty()) {
          Cell cell = new Cell(column.defaultValue(), 0, "ana");
          builder.cell(new CellKey(group(row), column), cell);
        }
      }
    }
    return builder.build();
  }

  private static List<Endpoint> endpoints(int count) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      endpoints.add(
          new Endpoint(
              new HostIdentity("engine-" + i, 1),
              "zone",
              EndpointKind.MODEL,
              UNUSED_ADDRESS,
              Set.of("m"),
              MEMORY));
    }
    return endpoints;
  }

  private static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private void decisions() {
    System.out.println("request admitted, placed, answered and completed; one thread");
    System.out.println(
        "endpoints  rows  microseconds/request  requests/s  state bytes  after 90,000 calls");
    for (int endpoints : ENDPOINTS) {
      for (int rows : ROWS) {
        decisions(endpoints, rows);
      }
    }
  }

  /** Prints one line; a separate method, so that the state of the previous line is garbage. */
  private static void decisions(int endpoints, int rows) {
    long bytesBefore = usedBytes();
    RequestCoordinator coordinator = coordinatorWith(endpoints, rows);
    long bytes = usedBytes() - bytesBefore;
    runRequests(coordinator, rows, 0, WARM_UP);
    long start = System.nanoTime();
    runRequests(coordinator, rows, WARM_UP, MEASURED);
    double micros = (System.nanoTime() - start) / NANOS_PER_MICRO / MEASURED;
    long bytesAfter = usedBytes() - bytesBefore;
    System.out.printf(
        Locale.ROOT,
        "%9d %5d %21.2f %11.0f %12d %18d%n",
        endpoints,
        rows,
        micros,
        1_000_000 / micros,
        bytes,
        bytesAfter);
    if (coordinator.openCount() != 0) {
      System.out.println("still open: " + coordinator.openCount());
    }
  }

  private static RequestCoordinator coordinatorWith(int endpoints, int rows) {
    RequestCoordinator coordinator =
        new RequestCoordinator(new HostIdentity("h", 1), "zone", Policies.standard());
    coordinator.updateTable(table(rows), 0);
    List<Endpoint> fleet = endpoints(endpoints);
    coordinator.updateEndpoints(fleet, 0);
    for (Endpoint endpoint : fleet) {
      LoadReport load = new LoadReport(1, new long[LoadReport.PRIORITIES], MEMORY, 0, 40_960);
      coordinator.loadReported(endpoint.identity(), load, 0);
    }
    return coordinator;
  }

  private static void runRequests(RequestCoordinator coordinator, int rows, int from, int count) {
    for (int i = from; i < from + count; i++) {
      long nowMs = 1 + i;
      RequestFacts facts =
          new RequestFacts(
              "r" + i,
              group(i % rows),
              new RequestTarget(EndpointKind.MODEL, "m"),
              2_000,
              100,
              nowMs,
              0,
              true,
              List.of((long) i % 50, (long) i));
      for (Action action : coordinator.arrive(facts, nowMs)) {
        if (action instanceof Action.Send send) {
          coordinator.attemptEvent(send.attempt(), AttemptEvent.ANSWERING, nowMs);
          coordinator.attemptEvent(send.attempt(), AttemptEvent.ANSWERED, nowMs);
        }
      }
    }
  }

  private void heartbeats() {
    System.out.println();
    System.out.println(
        "heartbeats in a zone, with the load of 27 engines each; message bytes in both directions");
    System.out.println("daemons  interval ms  messages/s  message bytes/s  microseconds/s");
    for (int daemons : DAEMONS) {
      new ZoneSimulation(daemons).print();
    }
  }

  /** Simulates a zone of daemons on a virtual clock; encodes and decodes real messages. */
  private static final class ZoneSimulation {
    private static final int WATCHED_ENGINES = 27;
    private static final long RUN_MS = 120_000;
    private static final long TICK_MS = 50;

    private final int daemons;
    private final List<ZoneMembership> members = new ArrayList<>();
    private final long[] sequences;
    private long bytes;
    private long messages;

    ZoneSimulation(int daemons) {
      this.daemons = daemons;
      this.sequences = new long[daemons];
      for (int i = 0; i < daemons; i++) {
        members.add(
            new ZoneMembership(
                identity(i), "zone", MembershipSettings.DEFAULT, List.of(address(0))));
      }
    }

    private static HostIdentity identity(int index) {
      return new HostIdentity(String.format("host-%03d", index), 1_796_000_000_000L);
    }

    private static HostAddress address(int index) {
      return new HostAddress("10.0.0." + index, 7_420);
    }

    void print() {
      for (int i = 1; i < daemons; i++) {
        for (int j = 0; j < daemons; j++) {
          members.get(j).receive(facts(i, ++sequences[i]), 0);
        }
        members.get(i).receive(facts(0, ++sequences[0]), 0);
      }
      run(0, RUN_MS);
      bytes = 0;
      messages = 0;
      long start = System.nanoTime();
      run(RUN_MS, 2 * RUN_MS);
      double micros = (System.nanoTime() - start) / NANOS_PER_MICRO;
      double perDaemon = RUN_MS / 1_000.0 * daemons;
      System.out.printf(
          Locale.ROOT,
          "%7d %12d %11.1f %16.0f %15.1f%n",
          daemons,
          MembershipSettings.DEFAULT.intervalMs(daemons),
          2 * messages / perDaemon,
          2 * bytes / perDaemon,
          micros / perDaemon);
    }

    private void run(long fromMs, long toMs) {
      for (long nowMs = fromMs; nowMs < toMs; nowMs += TICK_MS) {
        for (int i = 0; i < daemons; i++) {
          members.get(i).updateSuspects(nowMs);
          Set<HostAddress> due = members.get(i).dueHeartbeats(nowMs);
          if (!due.isEmpty()) {
            send(i, due, nowMs);
          }
        }
      }
    }

    private void send(int from, Set<HostAddress> due, long nowMs) {
      PeerFacts facts = facts(from, ++sequences[from]);
      for (HostAddress to : due) {
        byte[] frame =
            PeerCodec.newMessage(identity(from))
                .setHeartbeat(
                    PeerCodec.heartbeat(facts)
                        .setLoadDigest(
                            ByteString.copyFrom(
                                new byte[WATCHED_ENGINES * LoadDigest.ENTRY_BYTES])))
                .build()
                .toByteArray();
        bytes += frame.length + 4;
        messages++;
        int index = Integer.parseInt(to.ip().substring(to.ip().lastIndexOf('.') + 1));
        var message = PeerCodec.read(frame);
        PeerFacts read = PeerCodec.facts(PeerCodec.sender(message), message.getHeartbeat());
        members.get(index).receive(read, nowMs);
      }
    }

    private static PeerFacts facts(int index, long sequence) {
      return new PeerFacts(
          identity(index),
          "zone",
          address(index),
          sequence,
          41_000,
          41_005,
          2_600,
          false,
          120_000,
          60);
    }
  }

  private static Publication change(int number) {
    CellChange change =
        new CellChange(
            new CellKey(group(number % 1_400), Column.IN_FLIGHT), Integer.toString(number % 900));
    return new Publication(
        "6f9c1f6e-3f0e-4a68-9a53-" + (100_000_000_000L + number),
        "ana",
        number - 1,
        List.of(change));
  }

  private void tableBytes() {
    System.out.println();
    System.out.println("table on the wire");
    System.out.println("rows  snapshot bytes  one-cell publication bytes");
    for (int rows : ROWS) {
      int snapshot = SnapshotCodec.encode(table(rows)).getSerializedSize();
      System.out.printf(
          Locale.ROOT, "%4d %15d %27d%n", rows, snapshot, LogCodec.publication(change(1)).length);
    }
  }

  private void catchUp() {
    System.out.println();
    System.out.println("catch-up by replay, a table of 1,400 rows");
    System.out.println("changes  log bytes  milliseconds  microseconds/change");
    for (int changes : CHANGES) {
      LogReplay replay = new LogReplay();
      replay.adopt(table(1_400));
      long bytes = 0;
      long start = System.nanoTime();
      for (int i = 1; i <= changes; i++) {
        byte[] record = LogCodec.publication(change(i));
        bytes += record.length;
        Publication read = LogCodec.publication(LogCodec.read(i, record).getPublication());
        replay.record(new LogReplay.Entry.Published(i, read));
      }
      double millis = (System.nanoTime() - start) / NANOS_PER_MICRO / 1_000;
      System.out.printf(
          Locale.ROOT,
          "%7d %10d %13.1f %20.1f%n",
          changes,
          bytes,
          millis,
          millis * 1_000 / changes);
    }
  }
}
