// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fawndrum.errors.RecordUnreadableException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.KeyedPage.KeyedRecord;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.RouteTable;
import org.junit.jupiter.api.Test;

/** Which endpoints are listed while their records are added and removed. */
class EndpointReaderTest {
  private static final byte[] READY = {'r'};
  private static final byte[] DRAINING = {'l'};
  private static final byte[] EMPTY = {};

  private long nowMs = 1_000;
  private HostListing listing = HostListing.NONE;
  private Runnable onDecode = () -> {};
  private final EndpointReader reader =
      new EndpointReader(
          new Decoder(),
          newer -> listing = newer,
          (e, remainingMs) -> false,
          () -> nowMs,
          new HostLog("test"));

  /** Decodes records of one letter. */
  private final class Decoder implements RelayDecoder {
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
      onDecode.run();
      if (record.value()[0] == 'x') {
        throw new RecordUnreadableException(record.offset(), null);
      }
      Endpoint endpoint =
          new Endpoint(
              new HostIdentity(record.key(), 0),
              "a",
              EndpointKind.PLAIN,
              new HostAddress("127.0.0.1", 1),
              Set.of("s"),
              0);
      long sequence = record.value().length > 1 ? record.value()[1] : 0;
      return new EndpointEntry(endpoint, record.value()[0] == 'l', sequence, 0);
    }
  }

  private static KeyedPage page(Object... keysAndValues) {
    List<KeyedRecord> records = new ArrayList<>();
    for (int i = 0; i < keysAndValues.length; i += 2) {
      records.add(new KeyedRecord(i, (String) keysAndValues[i], (byte[]) keysAndValues[i + 1]));
    }
    return new KeyedPage(records, records.size());
  }

  private List<String> names() {
    return listing.endpoints().stream().map(Endpoint::name).toList();
  }

  @Test
  void entriesAreListedByName() {
    reader.applySnapshot(page("b", READY, "a", READY), 0);
    reader.applyChanges(page("c", DRAINING), 0);
    assertEquals(List.of("a", "b", "c"), names());
    assertEquals(Set.of(new HostIdentity("c", 0)), listing.drainingEndpoints());
  }

  @Test
  void theFirstPageIsPassedOnEvenIfItIsEmpty() {
    reader.applySnapshot(page(), 0);
    assertEquals(1, listing.version());
  }

  @Test
  void removedEntryIsUnlistedAtOnce() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    reader.applyChanges(page("a", EMPTY), 0);
    assertEquals(List.of("b"), names());
  }

  @Test
  void entriesThatExpiredInAnOutageAreKeptForTwoSeconds() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    nowMs = 9_000;
    reader.storeAvailable();
    reader.applyChanges(page("a", EMPTY, "b", EMPTY), 0);
    assertEquals(List.of("a", "b"), names());
    nowMs = 10_000;
    reader.applyChanges(page("a", READY), 0);
    nowMs = 11_001;
    reader.applyChanges(page(), 0);
    assertEquals(List.of("a"), names());
  }

  @Test
  void entryRemovedWhileOnlyThisHostCouldNotReadIsUnlistedAtOnce() {
    reader.applySnapshot(page("a", READY, "b", READY, "c", READY), 0);
    nowMs = 9_000;
    reader.storeAvailable();
    reader.applySnapshot(page("a", READY, "c", READY), 0);
    assertEquals(List.of("a", "c"), names());
    reader.applyChanges(page("c", EMPTY), 0);
    assertEquals(List.of("a"), names());
  }

  @Test
  void afterCompactionOnlyStoredEntriesAreListed() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    reader.applySnapshot(page("b", READY), 0);
    assertEquals(List.of("b"), names());
  }

  @Test
  void unreadableRecordInvalidatesOnlyItsOwnEntry() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    reader.applyChanges(page("a", new byte[] {'x'}, "c", READY), 0);
    assertEquals(List.of("b", "c"), names());
    assertTrue(listing.drainingEndpoints().isEmpty());
    assertEquals(1, reader.unusableCount());
    reader.applyChanges(page("a", READY), 0);
    assertEquals(List.of("a", "b", "c"), names());
  }

  @Test
  void unreadableRecordInvalidatesItsEntryDuringRecovery() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    nowMs = 9_000;
    reader.storeAvailable();
    reader.applyChanges(page("a", new byte[] {'x'}, "b", EMPTY), 0);
    assertEquals(List.of("b"), names());
  }

  @Test
  void peersReceiveInvalidations() {
    reader.applySnapshot(page("a", READY, "b", READY, "c", READY), 0);
    long before = reader.lastChange().offset();
    reader.applyChanges(new KeyedPage(List.of(new KeyedRecord(9, "a", new byte[] {'x'})), 10), 0);
    assertTrue(reader.lastChange().offset() > before, "no change to query");
    List<HostListing> listings = new ArrayList<>();
    EndpointReader peer =
        new EndpointReader(
            new Decoder(),
            listings::add,
            (e, remainingMs) -> false,
            () -> nowMs,
            new HostLog("test"));
    peer.applySnapshot(page("a", READY, "b", EMPTY, "c", EMPTY), 0);
    // The platform has just become available for it, so entries that are only missing are kept for
    // a while.
    peer.storeAvailable();
    peer.applySnapshot(new KeyedPage(reader.records(), 10), 0);
    assertEquals(
        List.of("b", "c"), listings.get(1).endpoints().stream().map(Endpoint::name).toList());
  }

  @Test
  void invalidationIsForgottenWithItsRecord() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    reader.applyChanges(page("a", new byte[] {'x'}), 0);
    assertEquals(2, reader.records().size());
    reader.applySnapshot(page("b", READY), 0);
    assertEquals(1, reader.records().size());
  }

  @Test
  void onlyRelevantChangesAdvanceTheLastChange() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    assertEquals(3, reader.lastChange().offset());
    reader.applyChanges(new KeyedPage(List.of(new KeyedRecord(9, "a", READY)), 10), 0);
    assertEquals(10, reader.knownEnd().offset());
    assertEquals(3, reader.lastChange().offset());
    reader.applyChanges(new KeyedPage(List.of(new KeyedRecord(10, "a", DRAINING)), 11), 0);
    assertEquals(11, reader.lastChange().offset());
    reader.applyChanges(new KeyedPage(List.of(new KeyedRecord(11, "a", EMPTY)), 12), 0);
    assertEquals(13, reader.lastChange().offset());
  }

  @Test
  void ageCountsFromTheLatestConfirmation() {
    reader.applySnapshot(page("a", READY), 900);
    assertEquals(100, reader.ageMs(nowMs));
    reader.confirm(new StorePosition(0, 7), 950);
    assertEquals(7, reader.knownEnd().offset());
    reader.confirm(new StorePosition(0, 5), 300);
    assertEquals(7, reader.knownEnd().offset());
    assertEquals(50, reader.ageMs(nowMs));
  }

  private static byte[] entry(char state, int sequence) {
    return new byte[] {(byte) state, (byte) sequence};
  }

  private static KeyedPage inEpoch(long epoch, KeyedPage page) {
    return new KeyedPage(page.records(), page.end(), epoch);
  }

  private void applySnapshotIn(long epoch, Object... keysAndValues) {
    reader.applySnapshot(inEpoch(epoch, page(keysAndValues)), nowMs);
  }

  @Test
  void removedEndpointIsListedAgainOnlyWithANewerEntry() {
    applySnapshotIn(1, "a", entry('r', 5), "b", entry('r', 5));
    reader.applyChanges(inEpoch(1, page("a", EMPTY)), nowMs);
    applySnapshotIn(2, "a", entry('r', 4), "b", entry('r', 4));
    assertEquals(List.of("b"), names());
    reader.applyChanges(inEpoch(2, page("a", entry('r', 6))), nowMs);
    assertEquals(List.of("a", "b"), names());
  }

  @Test
  void withinAnEpochLaterRecordsCountWhateverTheirSequence() {
    applySnapshotIn(1, "a", entry('r', 5), "b", entry('r', 5));
    reader.applyChanges(inEpoch(1, page("a", EMPTY)), nowMs);
    reader.applyChanges(inEpoch(1, page("a", entry('r', 1))), nowMs);
    assertEquals(List.of("a", "b"), names());
  }

  @Test
  void olderCopyOfAnEntryDoesNotEndAShutdown() {
    applySnapshotIn(1, "a", entry('r', 5));
    reader.applyChanges(inEpoch(1, page("a", entry('l', 6))), nowMs);
    applySnapshotIn(2, "a", entry('r', 5));
    assertEquals(Set.of(new HostIdentity("a", 0)), listing.drainingEndpoints());
    // Hosts that query this one receive the same.
    assertEquals('l', reader.records().get(0).value()[0]);
  }

  @Test
  void entriesMissingInTheCopyAreKeptForTwoSeconds() {
    applySnapshotIn(1, "a", entry('r', 1), "b", entry('r', 1), "c", entry('r', 1));
    applySnapshotIn(2, "a", entry('r', 1), "b", entry('r', 1));
    assertEquals(List.of("a", "b", "c"), names());
    nowMs += 2_001;
    reader.applyChanges(inEpoch(2, page()), nowMs);
    assertEquals(List.of("a", "b"), names());
  }

  @Test
  void entriesMissingInTheCopyStayIfWrittenAgain() {
    applySnapshotIn(1, "a", entry('r', 1), "b", entry('r', 1), "c", entry('r', 1));
    applySnapshotIn(2, "a", entry('r', 1), "b", entry('r', 1));
    nowMs += 1_000;
    reader.applyChanges(inEpoch(2, page("c", entry('r', 2))), nowMs);
    nowMs += 2_001;
    reader.applyChanges(inEpoch(2, page()), nowMs);
    assertEquals(List.of("a", "b", "c"), names());
  }

  @Test
  void entryRemovedAfterARestoreIsUnlistedAtOnce() {
    applySnapshotIn(1, "a", entry('r', 1), "b", entry('r', 1), "c", entry('r', 1));
    applySnapshotIn(2, "a", entry('r', 1), "b", entry('r', 1), "c", entry('r', 1));
    reader.applyChanges(inEpoch(2, page("a", EMPTY)), nowMs);
    assertEquals(List.of("b", "c"), names());
  }

  @Test
  void pagesOfAPreviousEpochConfirmNothing() {
    applySnapshotIn(2, "a", READY);
    nowMs += 500;
    reader.applySnapshot(inEpoch(1, page("a", DRAINING, "b", READY)), nowMs);
    reader.confirm(new StorePosition(1, 90), nowMs);
    assertEquals(List.of("a"), names());
    assertEquals(500, reader.ageMs(nowMs));
    assertEquals(new StorePosition(2, 1), reader.knownEnd());
  }

  @Test
  void lowerOffsetsOfALaterEpochAreLater() {
    applySnapshotIn(1, "a", READY, "b", READY, "c", READY);
    applySnapshotIn(2, "a", READY);
    assertEquals(new StorePosition(2, 1), reader.knownEnd());
    reader.applyChanges(inEpoch(2, page("a", DRAINING)), nowMs);
    assertEquals(new StorePosition(2, 1), reader.lastChange());
  }

  @Test
  void storeMayBeRestoredRepeatedly() {
    applySnapshotIn(1, "a", entry('r', 5), "b", entry('r', 5));
    reader.applyChanges(inEpoch(1, page("a", EMPTY)), nowMs);
    for (long epoch = 2; epoch < 6; epoch++) {
      applySnapshotIn(epoch, "a", entry('r', 5), "b", entry('r', 5));
      assertEquals(List.of("b"), names(), "epoch " + epoch);
    }
  }

  @Test
  void lateAnswerOfAPreviousEpochIsIgnored() {
    applySnapshotIn(1, "a", entry('r', 1), "b", entry('r', 1));
    applySnapshotIn(2, "a", entry('r', 1), "b", entry('r', 1));
    KeyedRecord late = new KeyedRecord(90, "a", EMPTY);
    reader.applyChanges(new KeyedPage(List.of(late), 91, 1), nowMs);
    assertEquals(List.of("a", "b"), names());
    assertEquals(2, reader.knownEnd().epoch());
  }

  @Test
  void entryWrittenAgainUnchangedStays() {
    applySnapshotIn(1, "a", entry('r', 1), "b", entry('r', 1), "c", entry('r', 1));
    applySnapshotIn(2, "a", entry('r', 1), "b", entry('r', 1));
    reader.applyChanges(inEpoch(2, page("c", entry('r', 1))), nowMs);
    nowMs += 2_001;
    reader.applyChanges(inEpoch(2, page()), nowMs);
    assertEquals(List.of("a", "b", "c"), names());
  }

  private Set<String> keysChangedSince(StorePosition position) {
    return reader.changesSince(position).orElseThrow().stream()
        .map(KeyedRecord::key)
        .collect(Collectors.toSet());
  }

  @Test
  void eachChangeHasALaterPosition() {
    reader.applySnapshot(page("a", READY, "b", READY, "c", READY), 0);
    StorePosition initial = reader.lastChange();
    reader.applySnapshot(page("b", READY, "c", READY), 0);
    StorePosition removed = reader.lastChange();
    assertTrue(removed.isAfter(initial));
    reader.applySnapshot(page("c", READY), 0);
    StorePosition removedAgain = reader.lastChange();
    assertTrue(removedAgain.isAfter(removed), "the log was not written to in between");
    reader.applyChanges(page("c", DRAINING), 0);
    assertTrue(reader.lastChange().isAfter(removedAgain), "read after a position beyond the end");
  }

  @Test
  void peerThatKnowsTheRestReceivesOnlyChanges() {
    reader.applySnapshot(page("a", READY, "b", READY, "c", READY), 0);
    StorePosition known = reader.lastChange();
    reader.applyChanges(page("a", DRAINING), 0);
    reader.applyChanges(page("b", EMPTY), 0);
    assertEquals(Set.of("a", "b"), keysChangedSince(known));
    assertEquals(Set.of(), keysChangedSince(reader.lastChange()));
  }

  @Test
  void changesLeadToTheSameList() {
    reader.applySnapshot(page("a", READY, "b", READY, "c", READY), 0);
    EndpointReader peer =
        new EndpointReader(
            new Decoder(),
            newer -> listing = newer,
            (e, remainingMs) -> false,
            () -> nowMs,
            new HostLog("test"));
    peer.applySnapshot(new KeyedPage(reader.records(), reader.knownEnd().offset()), 0);
    StorePosition known = reader.lastChange();
    reader.applyChanges(page("a", DRAINING), 0);
    reader.applyChanges(page("b", EMPTY), 0);
    List<KeyedRecord> changes = reader.changesSince(known).orElseThrow();
    peer.applyChanges(new KeyedPage(changes, reader.knownEnd().offset()), 0);
    assertEquals(List.of("a", "c"), names());
    assertEquals(Set.of(new HostIdentity("a", 0)), listing.drainingEndpoints());
  }

  @Test
  void peerOfAnotherEpochOrFarBehindReceivesAllEntries() {
    reader.applySnapshot(page("a", READY), 0);
    assertTrue(reader.changesSince(StorePosition.NONE).isEmpty());
    for (int i = 0; i <= EntryChanges.MAX_KEPT; i++) {
      reader.applyChanges(page("e" + i, READY), 0);
    }
    assertTrue(reader.changesSince(new StorePosition(0, 0)).isEmpty());
    assertEquals(Set.of(), keysChangedSince(reader.lastChange()));
  }

  @Test
  void invalidationIsSentWithAllEntries() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    StorePosition known = reader.lastChange();
    reader.applyChanges(page("a", new byte[] {'x'}), 0);
    assertTrue(reader.changesSince(known).isEmpty());
  }

  /**
   * Another thread sends peers the position up to which this host has read, and the changes up to
   * it.
   */
  @Test
  void positionAdvancesOnlyAfterTheCompletePage() {
    reader.applySnapshot(page("a", READY), 0);
    StorePosition before = reader.knownEnd();
    List<StorePosition> whileReading = new ArrayList<>();
    onDecode = () -> whileReading.add(reader.knownEnd());
    reader.applyChanges(page("a", DRAINING, "b", READY, "c", READY), 0);
    assertEquals(List.of(before, before, before), whileReading);
    assertTrue(reader.knownEnd().isAfter(before));
  }
}
