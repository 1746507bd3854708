// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.errors.RecordUnreadableException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.KeyedPage.KeyedRecord;
import org.fawndrum.protocol.StorePosition;

/**
 * Brings the operators' configuration into force. One that cannot be read is logged and confirms
 * nothing. Revisions only rise, also where the store has gone back to a copy that holds an earlier
 * one: what was in force once is written there again. Confined to one event loop, but for {@link
 * #newest}, which all threads may call.
 */
final class ConfigurationReader implements TopicFollower.Reader {
  private final RelayDecoder decoder;
  private final RouteStore routes;
  private final HostLog log;
  private volatile KeyedRecord newest;

  ConfigurationReader(RelayDecoder decoder, RouteStore routes, HostLog log) {
    this.decoder = decoder;
    this.routes = routes;
    this.log = log;
  }

  @Override
  public StorePosition readTo() {
    // Others tell a revision without its place, so that what this host read itself is all there is.
    return StorePosition.NONE;
  }

  @Override
  public void regained() {
    // A configuration never lapses.
  }

  @Override
  public void whole(KeyedPage page, long askedMs) {
    changes(page, askedMs);
  }

  @Override
  public void changes(KeyedPage page, long provedMs) {
    KeyedRecord last = null;
    for (KeyedRecord record : page.records()) {
      if (decoder.isConfiguration(record) && !record.drops()) {
        last = record;
      }
    }
    if (last == null || take(last)) {
      routes.confirmed(provedMs);
    }
  }

  /** Returns the record of the revision in force, or null before any was read. */
  KeyedRecord newest() {
    return newest;
  }

  /** Takes a configuration; returns false when it makes no sense. */
  boolean take(KeyedRecord record) {
    try {
      if (routes.offer(decoder.configuration(record))) {
        newest = record;
        log.event(LogEvent.TABLE_IN_FORCE, Long.toString(routes.table().revision()));
      }
      return true;
    } catch (RecordUnreadableException e) {
      log.failure(LogEvent.RECORD_PASSED_OVER, e, Long.toString(record.offset()));
      return false;
    }
  }
}
