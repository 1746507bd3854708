// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.protocol.KeyedPage.KeyedRecord;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.RouteTable;

/** Decodes the platform's records. Immutable, safe for all threads. */
public interface RelayDecoder {
  /** Tells whether a record of the operators' log holds the configuration. */
  boolean isConfiguration(KeyedRecord record);

  /**
   * Returns the configuration of a record.
   *
   * @throws org.fawndrum.errors.RecordUnreadableException if it makes no sense
   */
  RouteTable configuration(KeyedRecord record);

  /**
   * Returns what an endpoint's record says.
   *
   * @throws org.fawndrum.errors.RecordUnreadableException if it makes no sense
   */
  EndpointEntry endpoint(KeyedRecord record);

  /**
   * What an endpoint says of itself.
   *
   * @param endpoint the endpoint
   * @param leaving whether it is leaving
   * @param sequence rises with each time that the endpoint writes its entry
   */
  record EndpointEntry(Endpoint endpoint, boolean leaving, long sequence) {
    /** Tells whether another entry says the same, whenever it was written. */
    boolean saysTheSame(EndpointEntry other) {
      return other != null && endpoint.equals(other.endpoint) && leaving == other.leaving;
    }

    /** Tells whether the endpoint wrote this before another entry of its. */
    boolean isBefore(EndpointEntry other) {
      long start = endpoint.incarnation();
      long otherStart = other.endpoint.incarnation();
      return start < otherStart || start == otherStart && sequence < other.sequence;
    }
  }
}
