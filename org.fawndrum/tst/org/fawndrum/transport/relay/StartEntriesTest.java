// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.KeyedPage.KeyedRecord;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.RouteTable;
import org.junit.jupiter.api.Test;

/**
 * Verifies which entries tell that an endpoint starts. A copy of an old entry that arrives late
 * must not extend a start, and an entry that is written each second must not make all hosts ask for
 * it.
 */
class StartEntriesTest {
  private final List<Long> remaining = new ArrayList<>();
  private boolean isChange;
  private final EndpointReader reader =
      new EndpointReader(
          new Decoder(), listing -> {}, this::entryRead, () -> 1_000, new HostLog("test"));

  /** Decodes records of incarnation, sequence and remaining time. */
  private static final class Decoder implements RelayDecoder {
    @Override
    public boolean isConfiguration(KeyedRecord record) {
      return false;
    }

    @Override
    public Optional<String> drainedZone(KeyedRecord record) {
      return Optional.empty();
    }

    @Override
    public RouteTable configuration(KeyedRecord record) {
      return RouteTable.NONE;
    }

    @Override
    public EndpointEntry endpoint(KeyedRecord record) {
      String[] fields = new String(record.value(), StandardCharsets.UTF_8).split(" ");
      Endpoint endpoint =
          new Endpoint(
              new HostIdentity(record.key(), Long.parseLong(fields[0])),
              "zone-a",
              EndpointKind.PLAIN,
              new HostAddress("127.0.0.1", 1),
              Set.of("pool"),
              0);
      return new EndpointEntry(
          endpoint, false, Long.parseLong(fields[1]), Long.parseLong(fields[2]));
    }
  }

  private boolean entryRead(Endpoint endpoint, long remainingMs) {
    remaining.add(remainingMs);
    return isChange;
  }

  private void read(String entry) {
    long offset = reader.knownEnd().offset() + 1;
    KeyedRecord record = new KeyedRecord(offset, "e-1", entry.getBytes(StandardCharsets.UTF_8));
    reader.applyChanges(new KeyedPage(List.of(record), offset + 1), 0);
  }

  @Test
  void copiesOfOldEntriesTellNothing() {
    read("7 4 3000");
    read("7 5 1800");
    read("7 4 3000");
    read("7 5 1800");
    read("6 9 3000");
    assertEquals(List.of(3_000L, 1_800L), remaining);
    read("8 1 3000");
    assertEquals(3, remaining.size(), "a later incarnation starts anew");
  }

  @Test
  void withoutAStartTimeALowerSequenceIsALaterIncarnation() {
    read("0 4 0");
    read("0 4 0");
    read("0 1 3000");
    assertEquals(List.of(0L, 3_000L), remaining);
  }

  @Test
  void onlyAnotherStartIsAChangeForOtherHosts() {
    read("7 4 3000");
    StorePosition known = reader.lastChange();
    read("7 5 1800");
    assertEquals(Optional.of(List.of()), reader.changesSince(known));
    isChange = true;
    read("7 6 3000");
    assertEquals(1, reader.changesSince(known).orElseThrow().size());
  }
}
