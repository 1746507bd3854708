// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
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

/** Which endpoints are listed while their records come and go. */
class EndpointReaderTest {
  private static final byte[] READY = {'r'};
  private static final byte[] LEAVING = {'l'};
  private static final byte[] NONE = {};

  private long nowMs = 1_000;
  private HostListing listing = HostListing.NONE;
  private Runnable whenDecoded = () -> {};
  private final EndpointReader reader =
      new EndpointReader(new Decoder(), newer -> listing = newer, () -> nowMs, new HostLog("test"));

  /** Reads records of one letter. */
  private final class Decoder implements RelayDecoder {
    @Override
    public boolean isConfiguration(KeyedRecord record) {
      return false;
    }

    @Override
    public RouteTable configuration(KeyedRecord record) {
      return RouteTable.NONE;
    }

    @Override
    public EndpointEntry endpoint(KeyedRecord record) {
      whenDecoded.run();
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
      return new EndpointEntry(endpoint, record.value()[0] == 'l', sequence);
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
  void entriesAreListedInTheOrderOfTheirNames() {
    reader.applySnapshot(page("b", READY, "a", READY), 0);
    reader.applyChanges(page("c", LEAVING), 0);
    assertEquals(List.of("a", "b", "c"), names());
    assertEquals(Set.of(new HostIdentity("c", 0)), listing.leaving());
  }

  @Test
  void aDroppedEntryIsGoneAtOnce() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    reader.applyChanges(page("a", NONE), 0);
    assertEquals(List.of("b"), names());
  }

  @Test
  void entriesThatLapsedInAnOutageHaveTwoSecondsToComeBack() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    nowMs = 9_000;
    reader.storeAvailable();
    reader.applyChanges(page("a", NONE, "b", NONE), 0);
    assertEquals(List.of("a", "b"), names());
    nowMs = 10_000;
    reader.applyChanges(page("a", READY), 0);
    nowMs = 11_001;
    reader.applyChanges(page(), 0);
    assertEquals(List.of("a"), names());
  }

  @Test
  void oneThatLeftWhileOnlyThisHostCouldNotReadIsGoneAtOnce() {
    reader.applySnapshot(page("a", READY, "b", READY, "c", READY), 0);
    nowMs = 9_000;
    reader.storeAvailable();
    reader.applySnapshot(page("a", READY, "c", READY), 0);
    assertEquals(List.of("a", "c"), names());
    reader.applyChanges(page("c", NONE), 0);
    assertEquals(List.of("a"), names());
  }

  @Test
  void afterACompactedHistoryOnlyWhatTheStoreHoldsIsListed() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    reader.applySnapshot(page("b", READY), 0);
    assertEquals(List.of("b"), names());
  }

  @Test
  void anUnreadableRecordEndsItsEntryAndNoOther() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    reader.applyChanges(page("a", new byte[] {'x'}, "c", READY), 0);
    assertEquals(List.of("b", "c"), names());
    assertTrue(listing.leaving().isEmpty());
    assertEquals(1, reader.unusableCount());
    reader.applyChanges(page("a", READY), 0);
    assertEquals(List.of("a", "b", "c"), names());
  }

  @Test
  void anUnreadableRecordEndsItsEntryAlsoWhileOthersMayComeBack() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    nowMs = 9_000;
    reader.storeAvailable();
    reader.applyChanges(page("a", new byte[] {'x'}, "b", NONE), 0);
    assertEquals(List.of("b"), names());
  }

  @Test
  void hostsThatAskLearnThatAnEntryHasBecomeUnusable() {
    reader.applySnapshot(page("a", READY, "b", READY, "c", READY), 0);
    long before = reader.lastChange().offset();
    reader.applyChanges(new KeyedPage(List.of(new KeyedRecord(9, "a", new byte[] {'x'})), 10), 0);
    assertTrue(reader.lastChange().offset() > before, "nothing to ask for");
    List<HostListing> heard = new ArrayList<>();
    EndpointReader asking =
        new EndpointReader(new Decoder(), heard::add, () -> nowMs, new HostLog("test"));
    asking.applySnapshot(page("a", READY, "b", NONE, "c", NONE), 0);
    // The platform has just come back for it, so that what is merely missing is kept for a while.
    asking.storeAvailable();
    asking.applySnapshot(new KeyedPage(reader.records(), 10), 0);
    assertEquals(List.of("b", "c"), heard.get(1).endpoints().stream().map(Endpoint::name).toList());
  }

  @Test
  void whatIsKnownOfAnUnusableEntryGoesWithItsRecord() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    reader.applyChanges(page("a", new byte[] {'x'}), 0);
    assertEquals(2, reader.records().size());
    reader.applySnapshot(page("b", READY), 0);
    assertEquals(1, reader.records().size());
  }

  @Test
  void onlyChangesThatMatterMoveTheirEnd() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    assertEquals(3, reader.lastChange().offset());
    reader.applyChanges(new KeyedPage(List.of(new KeyedRecord(9, "a", READY)), 10), 0);
    assertEquals(10, reader.knownEnd().offset());
    assertEquals(3, reader.lastChange().offset());
    reader.applyChanges(new KeyedPage(List.of(new KeyedRecord(10, "a", LEAVING)), 11), 0);
    assertEquals(11, reader.lastChange().offset());
    reader.applyChanges(new KeyedPage(List.of(new KeyedRecord(11, "a", NONE)), 12), 0);
    assertEquals(13, reader.lastChange().offset());
  }

  @Test
  void theAgeCountsFromTheLatestProof() {
    reader.applySnapshot(page("a", READY), 900);
    assertEquals(100, reader.ageMs(nowMs));
    reader.confirm(new StorePosition(0, 7), 950);
    assertEquals(7, reader.knownEnd().offset());
    reader.confirm(new StorePosition(0, 5), 300);
    assertEquals(7, reader.knownEnd().offset());
    assertEquals(50, reader.ageMs(nowMs));
  }

  private static byte[] written(char state, int sequence) {
    return new byte[] {(byte) state, (byte) sequence};
  }

  private static KeyedPage inEra(long era, KeyedPage page) {
    return new KeyedPage(page.records(), page.end(), era);
  }

  private void wholeIn(long era, Object... keysAndValues) {
    reader.applySnapshot(inEra(era, page(keysAndValues)), nowMs);
  }

  @Test
  void anEndpointThatWasGoneComesBackOnlyWithWhatItWroteSince() {
    wholeIn(1, "a", written('r', 5), "b", written('r', 5));
    reader.applyChanges(inEra(1, page("a", NONE)), nowMs);
    wholeIn(2, "a", written('r', 4), "b", written('r', 4));
    assertEquals(List.of("b"), names());
    reader.applyChanges(inEra(2, page("a", written('r', 6))), nowMs);
    assertEquals(List.of("a", "b"), names());
  }

  @Test
  void inOneEraWhatComesLaterCountsWhateverItsNumber() {
    wholeIn(1, "a", written('r', 5), "b", written('r', 5));
    reader.applyChanges(inEra(1, page("a", NONE)), nowMs);
    reader.applyChanges(inEra(1, page("a", written('r', 1))), nowMs);
    assertEquals(List.of("a", "b"), names());
  }

  @Test
  void anEndpointThatIsLeavingStaysSoUntilItWritesOtherwise() {
    wholeIn(1, "a", written('r', 5));
    reader.applyChanges(inEra(1, page("a", written('l', 6))), nowMs);
    wholeIn(2, "a", written('r', 5));
    assertEquals(Set.of(new HostIdentity("a", 0)), listing.leaving());
    // Hosts that ask this one learn the same.
    assertEquals('l', reader.records().get(0).value()[0]);
  }

  @Test
  void whatTheCopyLacksIsKeptForTwoSeconds() {
    wholeIn(1, "a", written('r', 1), "b", written('r', 1), "c", written('r', 1));
    wholeIn(2, "a", written('r', 1), "b", written('r', 1));
    assertEquals(List.of("a", "b", "c"), names());
    nowMs += 2_001;
    reader.applyChanges(inEra(2, page()), nowMs);
    assertEquals(List.of("a", "b"), names());
  }

  @Test
  void whatTheCopyLacksAndWritesItselfAgainStays() {
    wholeIn(1, "a", written('r', 1), "b", written('r', 1), "c", written('r', 1));
    wholeIn(2, "a", written('r', 1), "b", written('r', 1));
    nowMs += 1_000;
    reader.applyChanges(inEra(2, page("c", written('r', 2))), nowMs);
    nowMs += 2_001;
    reader.applyChanges(inEra(2, page()), nowMs);
    assertEquals(List.of("a", "b", "c"), names());
  }

  @Test
  void anEntryThatGoesAfterTheStoreCameBackIsGoneAtOnce() {
    wholeIn(1, "a", written('r', 1), "b", written('r', 1), "c", written('r', 1));
    wholeIn(2, "a", written('r', 1), "b", written('r', 1), "c", written('r', 1));
    reader.applyChanges(inEra(2, page("a", NONE)), nowMs);
    assertEquals(List.of("b", "c"), names());
  }

  @Test
  void whatWasReadBeforeTheStoreWentBackProvesNothing() {
    wholeIn(2, "a", READY);
    nowMs += 500;
    reader.applySnapshot(inEra(1, page("a", LEAVING, "b", READY)), nowMs);
    reader.confirm(new StorePosition(1, 90), nowMs);
    assertEquals(List.of("a"), names());
    assertEquals(500, reader.ageMs(nowMs));
    assertEquals(new StorePosition(2, 1), reader.knownEnd());
  }

  @Test
  void lowerOffsetsOfALaterEraComeAfterAll() {
    wholeIn(1, "a", READY, "b", READY, "c", READY);
    wholeIn(2, "a", READY);
    assertEquals(new StorePosition(2, 1), reader.knownEnd());
    reader.applyChanges(inEra(2, page("a", LEAVING)), nowMs);
    assertEquals(new StorePosition(2, 1), reader.lastChange());
  }

  @Test
  void theStoreMayGoBackAgainAndAgain() {
    wholeIn(1, "a", written('r', 5), "b", written('r', 5));
    reader.applyChanges(inEra(1, page("a", NONE)), nowMs);
    for (long era = 2; era < 6; era++) {
      wholeIn(era, "a", written('r', 5), "b", written('r', 5));
      assertEquals(List.of("b"), names(), "era " + era);
    }
  }

  @Test
  void anAnswerOfTheEarlierEraThatComesLateChangesNothing() {
    wholeIn(1, "a", written('r', 1), "b", written('r', 1));
    wholeIn(2, "a", written('r', 1), "b", written('r', 1));
    KeyedRecord late = new KeyedRecord(90, "a", NONE);
    reader.applyChanges(new KeyedPage(List.of(late), 91, 1), nowMs);
    assertEquals(List.of("a", "b"), names());
    assertEquals(2, reader.knownEnd().era());
  }

  @Test
  void whatIsWrittenAgainAsItWasStays() {
    wholeIn(1, "a", written('r', 1), "b", written('r', 1), "c", written('r', 1));
    wholeIn(2, "a", written('r', 1), "b", written('r', 1));
    reader.applyChanges(inEra(2, page("c", written('r', 1))), nowMs);
    nowMs += 2_001;
    reader.applyChanges(inEra(2, page()), nowMs);
    assertEquals(List.of("a", "b", "c"), names());
  }

  private Set<String> keysChangedSince(StorePosition place) {
    return reader.changesSince(place).orElseThrow().stream()
        .map(KeyedRecord::key)
        .collect(Collectors.toSet());
  }

  @Test
  void eachChangeHasAPlaceAfterTheOneBefore() {
    reader.applySnapshot(page("a", READY, "b", READY, "c", READY), 0);
    StorePosition read = reader.lastChange();
    reader.applySnapshot(page("b", READY, "c", READY), 0);
    StorePosition dropped = reader.lastChange();
    assertTrue(dropped.isAfter(read));
    reader.applySnapshot(page("c", READY), 0);
    StorePosition droppedAgain = reader.lastChange();
    assertTrue(droppedAgain.isAfter(dropped), "the log stood still between the two");
    reader.applyChanges(page("c", LEAVING), 0);
    assertTrue(reader.lastChange().isAfter(droppedAgain), "read behind a place beyond the end");
  }

  @Test
  void aHostThatKnowsTheRestIsToldOnlyWhatChanged() {
    reader.applySnapshot(page("a", READY, "b", READY, "c", READY), 0);
    StorePosition known = reader.lastChange();
    reader.applyChanges(page("a", LEAVING), 0);
    reader.applyChanges(page("b", NONE), 0);
    assertEquals(Set.of("a", "b"), keysChangedSince(known));
    assertEquals(Set.of(), keysChangedSince(reader.lastChange()));
  }

  @Test
  void whatItIsToldBringsItToTheSameList() {
    reader.applySnapshot(page("a", READY, "b", READY, "c", READY), 0);
    EndpointReader other =
        new EndpointReader(
            new Decoder(), newer -> listing = newer, () -> nowMs, new HostLog("test"));
    other.applySnapshot(new KeyedPage(reader.records(), reader.knownEnd().offset()), 0);
    StorePosition known = reader.lastChange();
    reader.applyChanges(page("a", LEAVING), 0);
    reader.applyChanges(page("b", NONE), 0);
    List<KeyedRecord> told = reader.changesSince(known).orElseThrow();
    other.applyChanges(new KeyedPage(told, reader.knownEnd().offset()), 0);
    assertEquals(List.of("a", "c"), names());
    assertEquals(Set.of(new HostIdentity("a", 0)), listing.leaving());
  }

  @Test
  void aHostOfAnotherEraOrFarBehindIsToldAll() {
    reader.applySnapshot(page("a", READY), 0);
    assertTrue(reader.changesSince(StorePosition.NONE).isEmpty());
    for (int i = 0; i <= EntryChanges.MAX_KEPT; i++) {
      reader.applyChanges(page("e" + i, READY), 0);
    }
    assertTrue(reader.changesSince(new StorePosition(0, 0)).isEmpty());
    assertEquals(Set.of(), keysChangedSince(reader.lastChange()));
  }

  @Test
  void anEntryThatWasWrittenOverIsToldWithAllOthers() {
    reader.applySnapshot(page("a", READY, "b", READY), 0);
    StorePosition known = reader.lastChange();
    reader.applyChanges(page("a", new byte[] {'x'}), 0);
    assertTrue(reader.changesSince(known).isEmpty());
  }

  /** Another thread tells peers how far this host has read, and what changed up to there. */
  @Test
  void nobodyIsToldThatAPageIsReadBeforeAllOfItIs() {
    reader.applySnapshot(page("a", READY), 0);
    StorePosition before = reader.knownEnd();
    List<StorePosition> whileReading = new ArrayList<>();
    whenDecoded = () -> whileReading.add(reader.knownEnd());
    reader.applyChanges(page("a", LEAVING, "b", READY, "c", READY), 0);
    assertEquals(List.of(before, before, before), whileReading);
    assertTrue(reader.knownEnd().isAfter(before));
  }
}
