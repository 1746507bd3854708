// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

/**
 * What an endpoint says about itself in the head of an answer, besides the answer. Immutable.
 *
 * @param leaving whether it leaves: it answers on for a while, and ends
 * @param restMs for how long it wants nothing from this host, in milliseconds; 0 when it does not
 *     say so
 */
public record EndpointNotice(boolean leaving, long restMs) {
  /** Of an endpoint that says nothing about itself. */
  public static final EndpointNotice NONE = new EndpointNotice(false, 0);
}
