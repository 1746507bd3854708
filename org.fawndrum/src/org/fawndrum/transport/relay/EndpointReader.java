// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.fawndrum.errors.RecordUnreadableException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.KeyedPage.KeyedRecord;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.transport.HostClock;

/**
 * Keeps the list of endpoints from their own records. Entries that lapsed while the platform was
 * away are kept for a while after its return, because living endpoints write themselves again.
 * Records that cannot be read are logged and change nothing. Confined to one event loop, but for
 * {@link #readTo}, {@link #changedTo}, {@link #ageMs} and {@link #records}, which all threads may
 * call.
 */
final class EndpointReader implements TopicFollower.Reader {
  /** How long after its return the platform may still lack living endpoints, in milliseconds. */
  private static final long RETURN_MS = 2_000;

  private final RelayDecoder decoder;
  private final Consumer<HostListing> listed;
  private final HostClock clock;
  private final HostLog log;
  private final Map<String, RelayDecoder.EndpointEntry> entries = new LinkedHashMap<>();
  private final Map<String, KeyedRecord> records = new ConcurrentHashMap<>();
  private final Set<String> lapsed = new HashSet<>();
  private long returnedMs = HostClock.NEVER_MS;
  private volatile long readTo = -1;
  private volatile long changedTo = -1;
  private volatile long knownAtMs = HostClock.NEVER_MS;
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
    Set<String> present = new HashSet<>();
    page.records().forEach(record -> present.add(record.key()));
    Set<String> missing = new HashSet<>(entries.keySet());
    missing.removeAll(present);
    take(page, missing);
    confirmed(page.end(), askedMs);
  }

  @Override
  public void changes(KeyedPage page, long provedMs) {
    take(page, new HashSet<>());
    confirmed(page.end(), provedMs);
  }

  /**
   * Takes note that nothing else was in the log.
   *
   * @param end the end of the log
   * @param atMs when the log surely ended there, by the host's clock
   */
  void confirmed(long end, long atMs) {
    readTo = Math.max(readTo, end);
    knownAtMs = Math.max(knownAtMs, atMs);
  }

  /** Returns the end of the log as it was read; -1 before anything was. */
  @Override
  public long readTo() {
    return readTo;
  }

  /** Returns the end of the log after the last change of an entry; -1 before any. */
  long changedTo() {
    return changedTo;
  }

  /** Returns how long ago the entries were surely those, in milliseconds. */
  long ageMs(long nowMs) {
    return nowMs - knownAtMs;
  }

  /** Returns the records of the entries, as they were read. */
  List<KeyedRecord> records() {
    return List.copyOf(records.values());
  }

  private void take(KeyedPage page, Set<String> missing) {
    readTo = Math.max(readTo, page.end());
    for (KeyedRecord record : page.records()) {
      if (record.drops()) {
        missing.add(record.key());
      } else {
        missing.remove(record.key());
        put(record);
      }
    }
    settle(missing);
    dropLapsed();
    publish();
  }

  private void put(KeyedRecord record) {
    try {
      RelayDecoder.EndpointEntry entry = decoder.endpoint(record);
      if (!entry.equals(entries.put(record.key(), entry))) {
        changedTo = Math.max(changedTo, record.offset() + 1);
      }
      records.put(record.key(), record);
      lapsed.remove(record.key());
    } catch (RecordUnreadableException e) {
      log.failure(LogEvent.RECORD_PASSED_OVER, e, Long.toString(record.offset()));
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
    if (entries.remove(key) != null) {
      // Beyond the end, so that hosts that have read up to the end learn of it too.
      changedTo = readTo + 1;
    }
    records.remove(key);
    lapsed.remove(key);
  }

  private void dropLapsed() {
    if (!lapsed.isEmpty() && !mayComeBack()) {
      List.copyOf(lapsed).forEach(this::drop);
    }
  }

  private void publish() {
    List<Endpoint> endpoints = new ArrayList<>();
    Set<HostIdentity> leaving = new HashSet<>();
    for (RelayDecoder.EndpointEntry entry : entries.values()) {
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
