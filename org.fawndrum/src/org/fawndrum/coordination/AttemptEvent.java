// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** What happens to an attempt. */
public enum AttemptEvent {
  /** The order to send was given; from now on bytes may leave at any moment. */
  SENDING,
  /** The transport says that nothing was handed to the network and nothing will be. */
  CONNECT_FAILED,
  /** The endpoint asked for rest before anything was handed to the network; nothing will be. */
  ENDPOINT_RESTS,
  /** The endpoint says that it did not and will not run the request. */
  REFUSED_BY_ENDPOINT,
  /** A part of the answer arrived. */
  ANSWERING,
  /** The whole answer arrived. */
  ANSWERED,
  /** The endpoint says that it ran the request and failed. */
  FAILED_BY_ENDPOINT,
  /** Nothing came for so long that another endpoint is tried if it may be; this one may be slow. */
  STALLED,
  /** The connection was lost, or the time to wait is over. */
  LOST
}
