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
   */
  record EndpointEntry(Endpoint endpoint, boolean leaving) {}
}
