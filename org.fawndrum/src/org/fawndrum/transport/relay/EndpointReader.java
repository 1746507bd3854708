// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.Comparator;
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
import org.fawndrum.internal.log.LineBudget;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.KeyedPage.KeyedRecord;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.transport.HostClock;

/**
 * Keeps the list of endpoints from their own records. Entries that lapsed while the platform was
 * away are kept for a while after its return, because living endpoints write themselves again. A
 * record that is no entry was written by somebody else: its key names no endpoint from then on,
 * whatever stood there, and every other entry holds. Where the store has gone back to a copy of
 * itself, what is known of each endpoint goes before what the copy holds, and what the copy lacks
 * is kept for a while as well. Confined to one event loop, but for {@link #readTo}, {@link
 * #changedTo}, {@link #ageMs}, {@link #records}, {@link #changesSince} and {@link #unusable}, which
 * all threads may call.
 */
final class EndpointReader implements TopicFollower.Reader {
  /** How long after its return the platform may still lack living endpoints, in milliseconds. */
  private static final long RETURN_MS = 2_000;

  /** The most lines about unusable entries a second; a counter tells of all. */
  private static final int LINES_PER_SECOND = 5;

  /**
   * Where at least this part of the entries tells when the endpoint started, one that does not was
   * written by somebody else. Below one, because several may have been; well above a half, because
   * endpoints may be replaced one by one by others that do not tell it yet, or do.
   */
  private static final double MOST_TELL_PART = 0.75;

  private static final byte[] NOTHING = {};

  private final RelayDecoder decoder;
  private final Consumer<HostListing> listed;
  private final HostClock clock;
  private final HostLog log;
  private final Map<String, RelayDecoder.EndpointEntry> entries = new LinkedHashMap<>();
  private final Map<String, KeyedRecord> records = new ConcurrentHashMap<>();
  private final Set<String> lapsed = new HashSet<>();
  private final EntryHistory history = new EntryHistory();
  private final EntryChanges changes = new EntryChanges();
  private Set<String> startless = Set.of();
  private final LineBudget lines = new LineBudget(LINES_PER_SECOND);
  private long returnedMs = HostClock.NEVER_MS;

  /** The end of what is being taken over; {@link #readTo} follows when all of it is. */
  private StorePosition reading = StorePosition.NONE;

  private volatile StorePosition readTo = StorePosition.NONE;
  private volatile long knownAtMs = HostClock.NEVER_MS;
  private volatile long unusable;
  private long version;

  EndpointReader(RelayDecoder decoder, Consumer<HostListing> listed, HostClock clock, HostLog log) {
    this.decoder = decoder;
    this.listed = listed;
    this.clock = clock;
    this.log = log;
  }

  @Override
  public void regained() {
    returnedMs = clock.nowMs();
  }

  @Override
  public void whole(KeyedPage page, long askedMs) {
    if (!begins(page)) {
      return;
    }
    boolean wentBack = readTo.isKnown() && page.era() > readTo.era();
    if (wentBack) {
      returnedMs = clock.nowMs();
    }
    Set<String> present = new HashSet<>();
    page.records().forEach(record -> present.add(record.key()));
    Set<String> missing = new HashSet<>(records.keySet());
    missing.removeAll(present);
    List<KeyedRecord> held = new ArrayList<>();
    for (KeyedRecord record : page.records()) {
      if (record.drops()) {
        // Another host tells the newest of each key, and found this one unusable.
        namesNone(record);
      } else {
        held.add(record);
      }
    }
    if (wentBack) {
      // A copy lacks those that came into being after it; they write themselves again.
      lapsed.addAll(missing);
      missing.clear();
    }
    take(new KeyedPage(held, page.end(), page.era()), missing);
    confirmed(page.endPosition(), askedMs);
  }

  @Override
  public void changes(KeyedPage page, long provedMs) {
    if (!begins(page)) {
      return;
    }
    take(page, new HashSet<>());
    confirmed(page.endPosition(), provedMs);
  }

  /**
   * Begins to take a page over, unless it is of an earlier era: another host may have told what the
   * store holds since.
   */
  private boolean begins(KeyedPage page) {
    if (page.era() < readTo.era()) {
      return false;
    }
    reading = readTo.max(page.endPosition());
    return true;
  }

  /**
   * Takes note that nothing else was in the log. That says something only of the era in which it
   * was read.
   *
   * @param end the end of the log
   * @param atMs when the log surely ended there, by the host's clock
   */
  void confirmed(StorePosition end, long atMs) {
    if (end.era() == readTo.era()) {
      readTo = readTo.max(end);
      knownAtMs = Math.max(knownAtMs, atMs);
    }
  }

  @Override
  public StorePosition readTo() {
    return readTo;
  }

  /** Returns the end of the log after the last change of an entry. */
  StorePosition changedTo() {
    return changes.last();
  }

  /** Returns how long ago the entries were surely those, in milliseconds. */
  long ageMs(long nowMs) {
    return nowMs - knownAtMs;
  }

  /**
   * Returns the records of the entries, as they were read; one without a value where an entry has
   * become unusable.
   */
  List<KeyedRecord> records() {
    return List.copyOf(records.values());
  }

  /**
   * Returns what changed after a place: the records of entries as they were read, and one without a
   * value for each entry that is gone; empty when a host that knows the rest needs all of them.
   */
  Optional<List<KeyedRecord>> changesSince(StorePosition from) {
    Optional<Set<String>> keys = changes.since(from);
    if (keys.isEmpty()) {
      return Optional.empty();
    }
    List<KeyedRecord> changed = new ArrayList<>();
    for (String key : keys.get()) {
      KeyedRecord record = records.get(key);
      if (record != null && record.drops()) {
        // Among changes it would say that the entry lapsed, and might come back.
        return Optional.empty();
      }
      changed.add(record == null ? new KeyedRecord(from.offset(), key, NOTHING) : record);
    }
    return Optional.of(changed);
  }

  /** Returns how many records were no entry. */
  long unusable() {
    return unusable;
  }

  private void take(KeyedPage page, Set<String> missing) {
    for (KeyedRecord record : page.records()) {
      if (record.drops()) {
        missing.add(record.key());
      } else {
        missing.remove(record.key());
        put(record, page);
      }
    }
    settle(missing);
    dropLapsed();
    // Only now: whoever is told that this host has read so far is told all of it.
    readTo = reading;
    publish();
  }

  private void put(KeyedRecord record, KeyedPage page) {
    try {
      RelayDecoder.EndpointEntry entry = decoder.endpoint(record);
      if (history.isOfACopy(record.key(), entry, page.era())) {
        return;
      }
      history.read(record.key(), entry, page.era());
      records.put(record.key(), record);
      if (!entry.saysTheSame(entries.put(record.key(), entry))) {
        changes.changed(record.key(), page.after(record));
      }
      lapsed.remove(record.key());
    } catch (RecordUnreadableException e) {
      tellUnusable(record, e.getCause());
      namesNone(record);
    }
  }

  private void tellUnusable(KeyedRecord record, Object why) {
    unusable = unusable + 1;
    if (lines.take(clock.nowMs())) {
      log.event(LogEvent.ENTRY_UNUSABLE, record.key(), record.offset(), why);
    }
  }

  /** Ends an entry for good; nothing lapsed that could come back by itself. */
  private void namesNone(KeyedRecord record) {
    if (entries.containsKey(record.key())) {
      drop(record.key());
      // Hosts that ask this one learn of it too, in few bytes, whatever was written.
      records.put(record.key(), new KeyedRecord(record.offset(), record.key(), NOTHING));
    }
  }

  /**
   * Drops the missing entries, or keeps them for a while when they may only have lapsed: an outage
   * of the store makes most of them lapse, while one that only this host could not reach makes
   * none.
   */
  private void settle(Set<String> missing) {
    boolean most = missing.size() * 2 > entries.size();
    if (most && mayComeBack()) {
      lapsed.addAll(missing);
    } else {
      missing.forEach(this::drop);
    }
  }

  private boolean mayComeBack() {
    return clock.nowMs() - returnedMs < RETURN_MS;
  }

  private void drop(String key) {
    records.remove(key);
    lapsed.remove(key);
    if (entries.remove(key) != null) {
      history.gone(key, reading.era());
      // Beyond the end, so that hosts that have read up to the end learn of it too.
      StorePosition beyond = new StorePosition(reading.era(), reading.offset() + 1);
      changes.changed(key, beyond);
    }
  }

  private void dropLapsed() {
    if (!lapsed.isEmpty() && !mayComeBack()) {
      List.copyOf(lapsed).forEach(this::drop);
    }
  }

  /** Returns the keys whose entries lack the start that most others tell. */
  private Set<String> startless() {
    Set<String> without = new HashSet<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.endpoint().incarnation() == Endpoint.START_NOT_TOLD) {
            without.add(key);
          }
        });
    boolean mostTell = entries.size() - without.size() >= MOST_TELL_PART * entries.size();
    return mostTell ? without : Set.of();
  }

  private void publish() {
    Set<String> before = startless;
    startless = startless();
    startless.stream()
        .filter(key -> !before.contains(key))
        .forEach(key -> tellUnusable(records.get(key), "the time of its start"));
    List<Endpoint> endpoints = new ArrayList<>();
    Set<HostIdentity> leaving = new HashSet<>();
    for (RelayDecoder.EndpointEntry entry : entries.values()) {
      if (startless.contains(entry.endpoint().name())) {
        continue;
      }
      endpoints.add(entry.endpoint());
      if (entry.leaving()) {
        leaving.add(entry.endpoint().identity());
      }
    }
    // All daemons see the endpoints in the same order, whenever they learned of them.
    endpoints.sort(Comparator.comparing(Endpoint::name));
    listed.accept(new HostListing(++version, endpoints, leaving, List.of()));
  }
}
