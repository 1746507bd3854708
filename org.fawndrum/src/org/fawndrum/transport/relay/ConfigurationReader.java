// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.errors.RecordUnreadableException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.KeyedPage.KeyedRecord;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.protocol.ZoneDrains;
import org.fawndrum.transport.HostClock;

/**
 * Applies the operators' configuration and their drains of zones. A record that cannot be decoded
 * is logged and does not confirm the current configuration. A page confirms nothing if later drains
 * are known. Revisions only increase, even if the store was restored from a copy with an earlier
 * revision: the later configuration is written there again. Confined to one event loop, except
 * {@link #newest}, which is thread-safe.
 */
final class ConfigurationReader implements TopicFollower.Reader {
  /** The name of the source in log lines. */
  private static final String STORE = "the store";

  private final RelayDecoder decoder;
  private final RouteStore routes;
  private final HostClock clock;
  private final HostLog log;

  /** The drained zones up to the last page that this host read itself. */
  private final Set<String> readDrains = new HashSet<>();

  private volatile KeyedRecord newest;

  ConfigurationReader(RelayDecoder decoder, RouteStore routes, HostClock clock, HostLog log) {
    this.decoder = decoder;
    this.routes = routes;
    this.clock = clock;
    this.log = log;
  }

  @Override
  public StorePosition knownEnd() {
    // Peers send a revision without its store position, so there is no position beyond what this
    // host read itself.
    return StorePosition.NONE;
  }

  @Override
  public void storeAvailable() {
    // A configuration does not expire.
  }

  @Override
  public void applySnapshot(KeyedPage page, long queriedMs) {
    readDrains.clear();
    applyChanges(page, queriedMs);
  }

  @Override
  public void applyChanges(KeyedPage page, long confirmedMs) {
    page.records().forEach(this::readDrain);
    boolean upToDate = routes.drains().offer(new ZoneDrains(readDrains, page.endPosition()), STORE);
    KeyedRecord latest = null;
    for (KeyedRecord record : page.records()) {
      if (decoder.isConfiguration(record) && !record.isTombstone()) {
        latest = record;
      }
    }
    boolean applied = latest == null || apply(latest, STORE);
    if (applied && upToDate) {
      routes.confirm(confirmedMs);
    }
  }

  /** Applies a record that drains a zone or takes it back; its key alone says which. */
  private void readDrain(KeyedRecord record) {
    try {
      Optional<String> zone = decoder.drainedZone(record);
      if (zone.isPresent() && record.isTombstone()) {
        readDrains.remove(zone.get());
      } else {
        zone.ifPresent(readDrains::add);
      }
    } catch (RecordUnreadableException e) {
      log.failure(LogEvent.RECORD_SKIPPED, e, Long.toString(record.offset()));
    }
  }

  /** Returns the record of the revision in force, or null before the first one. */
  KeyedRecord newest() {
    return newest;
  }

  /**
   * Applies a configuration; returns false if the record cannot be decoded.
   *
   * @param source where it came from
   */
  boolean apply(KeyedRecord record, String source) {
    try {
      long ageMs = routes.table().revision() < 0 ? -1 : routes.ageMs(clock.nowMs());
      if (routes.offer(decoder.configuration(record))) {
        newest = record;
        String revision = Long.toString(routes.table().revision());
        log.event(LogEvent.TABLE_IN_FORCE, revision);
        log.event(LogEvent.TABLE_RECEIVED, revision, source, Long.toString(ageMs));
      }
      return true;
    } catch (RecordUnreadableException e) {
      log.failure(LogEvent.RECORD_SKIPPED, e, Long.toString(record.offset()));
      return false;
    }
  }
}
