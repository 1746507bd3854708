// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** An event in the life of an attempt. */
public enum AttemptEvent {
  /** The send action was emitted; from now on bytes may leave the host at any time. */
  SENDING,
  /** The transport reports that nothing was written to the network and nothing will be. */
  CONNECT_FAILED,
  /**
   * This host has lost its link to the endpoint and no other host could help; nothing was written
   * to the network and nothing will be.
   */
  NO_PATH,
  /**
   * The endpoint requested a backoff before anything was written to the network; nothing will be.
   */
  ENDPOINT_BACKOFF,
  /**
   * The endpoint accepts a number of requests a second only, and the attempt had no permit or not
   * any more before anything was written to the network; nothing will be.
   */
  ENDPOINT_LIMITED,
  /**
   * The endpoint's availability zone was drained before anything was written to the network;
   * nothing will be.
   */
  ZONE_DRAINED,
  /** The endpoint reports that it did not run the request and will not. */
  REFUSED_BY_ENDPOINT,
  /** Part of the answer arrived. */
  ANSWERING,
  /** The endpoint answered a question that was sent while its answer went on. */
  ALIVE,
  /** The whole answer arrived. */
  ANSWERED,
  /** The endpoint reports that it ran the request and failed. */
  FAILED_BY_ENDPOINT,
  /**
   * Nothing arrived for so long that another endpoint should be tried if the request may be
   * repeated. The endpoint may just be slow.
   */
  STALLED,
  /** The connection was lost, or the attempt timed out. */
  LOST,
  /**
   * The way to the endpoint was lost after the request was sent: this host's link, or the host that
   * proxied it. The endpoint is not the cause.
   */
  PATH_LOST,
  /**
   * In the place of its answer, that to another request arrived on a connection that was kept: an
   * endpoint answered twice. The endpoint is alive; whether it runs this request is unknown.
   */
  STRAY_ANSWER
}
