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
   */
  record EndpointEntry(Endpoint endpoint, boolean draining, long sequence) {
    /** Returns whether another entry is equal apart from the time at which it was written. */
    boolean hasSameContent(EndpointEntry other) {
      return other != null && endpoint.equals(other.endpoint) && draining == other.draining;
    }

    /** Returns whether the endpoint wrote this entry before another one. */
    boolean isOlderThan(EndpointEntry other) {
      long start = endpoint.incarnation();
      long otherStart = other.endpoint.incarnation();
      return start < otherStart || start == otherStart && sequence < other.sequence;
    }
  }
}
