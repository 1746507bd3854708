// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.fawndrum.errors.RecordUnreadableException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.internal.log.LogRateLimiter;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.KeyedPage.KeyedRecord;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.transport.HostClock;

/**
 * Maintains the list of endpoints from their entries in the store. Entries that expired during an
 * outage of the platform are kept for a while after it is available again, because live endpoints
 * write their entries anew. A record that is not a valid entry was not written by the endpoint: it
 * invalidates the entry of its key, whatever was stored there before, and no other entry. If the
 * store was restored from a copy, newer entries known to this host take precedence over the copy,
 * and entries missing in the copy are kept for a while as well. Confined to one event loop, except
 * {@link #knownEnd}, {@link #lastChange}, {@link #ageMs}, {@link #records}, {@link #changesSince}
 * and {@link #unusableCount}, which are thread-safe.
 */
final class EndpointReader implements TopicFollower.Reader {
  /** How long after an outage the store may lack entries of live endpoints, in milliseconds. */
  private static final long RECOVERY_GRACE_MS = 2_000;

  /** Maximum log lines a second about unusable entries; a metric counts all of them. */
  private static final int MAX_LINES_PER_SECOND = 5;

  /**
   * If at least this fraction of the entries contains the start time of the endpoint, an entry
   * without it was not written by the endpoint and is unusable. Below 1, because there may be
   * several such entries; well above one half, because a rolling replacement of endpoints may
   * introduce or remove the field.
   */
  private static final double MIN_START_TIME_FRACTION = 0.75;

  /**
   * How far the start time of an endpoint may lie ahead of this host's clock, in milliseconds: a
   * day, since a clock set in another time zone differs by less. The newest start of an endpoint is
   * kept, so that its entries would not count until a start that is never reached.
   */
  static final long MAX_START_AHEAD_MS = 86_400_000;

  private static final byte[] EMPTY_VALUE = {};

  private final RelayDecoder decoder;
  private final Consumer<HostListing> onListing;
  private final StartListener starts;
  private final HostClock clock;
  private final HostLog log;
  private final Map<String, RelayDecoder.EndpointEntry> entries = new LinkedHashMap<>();
  private final Map<String, KeyedRecord> records = new ConcurrentHashMap<>();
  private final Map<String, RelayDecoder.EndpointEntry> newest = new HashMap<>();
  private final Set<String> expiredKeys = new HashSet<>();
  private final EntryHistory entryHistory = new EntryHistory();
  private final EntryChanges entryChanges = new EntryChanges();
  private Set<String> keysWithoutStart = Set.of();
  private final LogRateLimiter logLimiter = new LogRateLimiter(MAX_LINES_PER_SECOND);
  private long recoveredMs = HostClock.NEVER_MS;

  /**
   * The end of the page that is being applied; {@link #knownEnd} follows once all of it is applied.
   */
  private StorePosition pageEnd = StorePosition.NONE;

  private volatile StorePosition knownEnd = StorePosition.NONE;
  private volatile long confirmedAtMs = HostClock.NEVER_MS;
  private volatile long unusableCount;
  private long version;

  EndpointReader(
      RelayDecoder decoder,
      Consumer<HostListing> onListing,
      StartListener starts,
      HostClock clock,
      HostLog log) {
    this.decoder = decoder;
    this.onListing = onListing;
    this.starts = starts;
    this.clock = clock;
    this.log = log;
  }

  @Override
  public void storeAvailable() {
    recoveredMs = clock.nowMs();
  }

  @Override
  public void applySnapshot(KeyedPage page, long queriedMs) {
    if (!beginPage(page)) {
      return;
    }
    boolean restored = knownEnd.isKnown() && page.epoch() > knownEnd.epoch();
    if (restored) {
      recoveredMs = clock.nowMs();
    }
    Set<String> present = new HashSet<>();
    page.records().forEach(record -> present.add(record.key()));
    Set<String> missing = new HashSet<>(records.keySet());
    missing.removeAll(present);
    List<KeyedRecord> valid = new ArrayList<>();
    for (KeyedRecord record : page.records()) {
      if (record.isTombstone()) {
        // A peer sends the newest record of each key, and this one was unusable for it.
        invalidate(record);
      } else {
        valid.add(record);
      }
    }
    if (restored) {
      // The copy lacks entries that were created after it was made; their endpoints write them
      // again.
      expiredKeys.addAll(missing);
      missing.clear();
    }
    applyPage(new KeyedPage(valid, page.end(), page.epoch()), missing);
    confirm(page.endPosition(), queriedMs);
  }

  @Override
  public void applyChanges(KeyedPage page, long confirmedMs) {
    if (!beginPage(page)) {
      return;
    }
    applyPage(page, new HashSet<>());
    confirm(page.endPosition(), confirmedMs);
  }

  /**
   * Prepares for applying a page; returns false if the page is of an earlier epoch, because a peer
   * may already have sent later state of the store.
   */
  private boolean beginPage(KeyedPage page) {
    if (page.epoch() < knownEnd.epoch()) {
      return false;
    }
    pageEnd = knownEnd.max(page.endPosition());
    return true;
  }

  /**
   * Records that the log contained nothing else. Ignored if the log was read in another epoch.
   *
   * @param end the end of the log
   * @param atMs a time at which the log certainly ended there, by the host's clock
   */
  void confirm(StorePosition end, long atMs) {
    if (end.epoch() == knownEnd.epoch()) {
      knownEnd = knownEnd.max(end);
      confirmedAtMs = Math.max(confirmedAtMs, atMs);
    }
  }

  @Override
  public StorePosition knownEnd() {
    return knownEnd;
  }

  /** Returns the position after the last change of an entry. */
  StorePosition lastChange() {
    return entryChanges.lastChange();
  }

  /** Returns the time since the entries were last confirmed, in milliseconds. */
  long ageMs(long nowMs) {
    return nowMs - confirmedAtMs;
  }

  /**
   * Returns the records of the entries as they were read; a record without a value stands for an
   * entry that became unusable.
   */
  List<KeyedRecord> records() {
    return List.copyOf(records.values());
  }

  /**
   * Returns the changes after a position: the records of entries as they were read, and a record
   * without a value for each removed entry. Empty if the requesting host needs all entries.
   */
  Optional<List<KeyedRecord>> changesSince(StorePosition from) {
    Optional<Set<String>> keys = entryChanges.keysChangedSince(from);
    if (keys.isEmpty()) {
      return Optional.empty();
    }
    List<KeyedRecord> changed = new ArrayList<>();
    for (String key : keys.get()) {
      KeyedRecord record = records.get(key);
      if (record != null && record.isTombstone()) {
        // In a list of changes, this record would mean that the entry expired and may come back.
        return Optional.empty();
      }
      changed.add(record == null ? new KeyedRecord(from.offset(), key, EMPTY_VALUE) : record);
    }
    return Optional.of(changed);
  }

  /** Returns the number of records that were not valid entries. */
  long unusableCount() {
    return unusableCount;
  }

  private void applyPage(KeyedPage page, Set<String> missing) {
    for (KeyedRecord record : page.records()) {
      if (record.isTombstone()) {
        missing.add(record.key());
      } else {
        missing.remove(record.key());
        putEntry(record, page);
      }
    }
    handleMissing(missing);
    removeExpired();
    // Not before all of the page is applied: a peer that receives this position also receives all
    // entries up to it.
    knownEnd = pageEnd;
    publish();
  }

  private void putEntry(KeyedRecord record, KeyedPage page) {
    try {
      RelayDecoder.EndpointEntry entry = decoder.endpoint(record);
      if (entry.endpoint().incarnation() > clock.nowMs() + MAX_START_AHEAD_MS) {
        logUnusable(record, "it starts in the future");
        invalidate(record);
        return;
      }
      if (entryHistory.isStaleCopy(record.key(), entry, page.epoch())) {
        return;
      }
      entryHistory.recordEntry(record.key(), entry, page.epoch());
      records.put(record.key(), record);
      RelayDecoder.EndpointEntry before = entries.put(record.key(), entry);
      boolean startChanged =
          isNewest(record.key(), entry) && starts.entryRead(entry.endpoint(), entry.startingMs());
      if (startChanged || !entry.hasSameContent(before)) {
        entryChanges.recordChange(record.key(), page.positionAfter(record));
      }
      expiredKeys.remove(record.key());
    } catch (RecordUnreadableException e) {
      logUnusable(record, e.getCause());
      invalidate(record);
    }
  }

  /**
   * Whether an endpoint wrote an entry after all that were read; a copy of an old one may follow.
   */
  private boolean isNewest(String key, RelayDecoder.EndpointEntry entry) {
    RelayDecoder.EndpointEntry known = newest.get(key);
    boolean isNewest = known == null || entry.isWrittenAfter(known);
    if (isNewest) {
      newest.put(key, entry);
    }
    return isNewest;
  }

  private void logUnusable(KeyedRecord record, Object why) {
    unusableCount = unusableCount + 1;
    if (logLimiter.tryAcquire(clock.nowMs())) {
      log.event(LogEvent.ENTRY_UNUSABLE, record.key(), record.offset(), why);
    }
  }

  /** Removes an unusable entry at once: unlike an expired entry, it cannot come back by itself. */
  private void invalidate(KeyedRecord record) {
    if (entries.containsKey(record.key())) {
      removeEntry(record.key());
      // Peers that query this host receive the invalidation as an empty value, however large the
      // unusable record is.
      records.put(record.key(), new KeyedRecord(record.offset(), record.key(), EMPTY_VALUE));
    }
  }

  /**
   * Removes the missing entries, or keeps them for a while if they may only have expired. In an
   * outage of the store most entries expire; if only this host could not reach the store, none do.
   */
  private void handleMissing(Set<String> missing) {
    boolean mostExpired = missing.size() * 2 > entries.size();
    if (mostExpired && isInRecoveryGrace()) {
      expiredKeys.addAll(missing);
    } else {
      missing.forEach(this::removeEntry);
    }
  }

  private boolean isInRecoveryGrace() {
    return clock.nowMs() - recoveredMs < RECOVERY_GRACE_MS;
  }

  private void removeEntry(String key) {
    records.remove(key);
    expiredKeys.remove(key);
    newest.remove(key);
    if (entries.remove(key) != null) {
      entryHistory.recordRemoval(key, pageEnd.epoch());
      // One position beyond the end, so that hosts that have read up to the end receive the change,
      // too.
      StorePosition beyondEnd = new StorePosition(pageEnd.epoch(), pageEnd.offset() + 1);
      entryChanges.recordChange(key, beyondEnd);
    }
  }

  private void removeExpired() {
    if (!expiredKeys.isEmpty() && !isInRecoveryGrace()) {
      List.copyOf(expiredKeys).forEach(this::removeEntry);
    }
  }

  /** Returns the keys of the entries without a start time, if most other entries contain one. */
  private Set<String> findKeysWithoutStart() {
    Set<String> keys = new HashSet<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.endpoint().incarnation() == Endpoint.UNKNOWN_INCARNATION) {
            keys.add(key);
          }
        });
    boolean mostHaveStart =
        entries.size() - keys.size() >= MIN_START_TIME_FRACTION * entries.size();
    return mostHaveStart ? keys : Set.of();
  }

  private void publish() {
    Set<String> previous = keysWithoutStart;
    keysWithoutStart = findKeysWithoutStart();
    keysWithoutStart.stream()
        .filter(key -> !previous.contains(key))
        .forEach(key -> logUnusable(records.get(key), "start time missing"));
    List<Endpoint> endpoints = new ArrayList<>();
    Set<HostIdentity> draining = new HashSet<>();
    for (RelayDecoder.EndpointEntry entry : entries.values()) {
      if (keysWithoutStart.contains(entry.endpoint().name())) {
        continue;
      }
      endpoints.add(entry.endpoint());
      if (entry.draining()) {
        draining.add(entry.endpoint().identity());
      }
    }
    // All daemons list the endpoints in the same order, independent of when they learned of them.
    endpoints.sort(Comparator.comparing(Endpoint::name));
    onListing.accept(new HostListing(++version, endpoints, draining, List.of()));
  }
}
