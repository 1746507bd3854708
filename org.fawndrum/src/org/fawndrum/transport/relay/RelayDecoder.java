// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.Optional;
import org.fawndrum.protocol.KeyedPage.KeyedRecord;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.RouteTable;

/** Decodes the platform's records. Immutable and thread-safe. */
public interface RelayDecoder {
  /** Returns whether a record of the operators' log contains the configuration. */
  boolean isConfiguration(KeyedRecord record);

  /**
   * Returns the availability zone that a record of the operators' log drains, or takes back if it
   * deletes its key; empty for other records. The value of the record has no meaning.
   *
   * @throws org.fawndrum.errors.RecordUnreadableException if the record names no zone
   */
  Optional<String> drainedZone(KeyedRecord record);

  /**
   * Decodes the configuration in a record.
   *
   * @throws org.fawndrum.errors.RecordUnreadableException if the record is invalid
   */
  RouteTable configuration(KeyedRecord record);

  /**
   * Decodes an endpoint's entry.
   *
   * @throws org.fawndrum.errors.RecordUnreadableException if the record is invalid
   */
  EndpointEntry endpoint(KeyedRecord record);

  /**
   * The entry that an endpoint writes about itself.
   *
   * @param endpoint the endpoint
   * @param draining whether it is shutting down
   * @param sequence increases each time that the endpoint writes its entry
   * @param startingMs how long the endpoint still accepts less because it has started lately, in
   *     milliseconds; 0 if it does not
   */
  record EndpointEntry(Endpoint endpoint, boolean draining, long sequence, long startingMs) {
    /**
     * Returns whether another entry is equal apart from the time at which it was written, and from
     * the rest of its start, which gets shorter in each entry.
     */
    boolean hasSameContent(EndpointEntry other) {
      return other != null && endpoint.equals(other.endpoint) && draining == other.draining;
    }

    /**
     * Returns whether the endpoint wrote this entry after another one. If the start time is
     * unknown, a lower sequence may be that of a later incarnation.
     */
    boolean isWrittenAfter(EndpointEntry other) {
      boolean restarted =
          endpoint.incarnation() == Endpoint.UNKNOWN_INCARNATION && sequence < other.sequence;
      return other.isOlderThan(this) || restarted;
    }

    /** Returns whether the endpoint wrote this entry before another one. */
    boolean isOlderThan(EndpointEntry other) {
      long start = endpoint.incarnation();
      long otherStart = other.endpoint.incarnation();
      return start < otherStart || start == otherStart && sequence < other.sequence;
    }
  }
}
