// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

/**
 * Another daemon as this host sees it.
 *
 * @param facts the content of its last heartbeat
 * @param lastHeartbeatMs when that was received, in milliseconds of this host's clock
 * @param alive whether its heartbeats are recent; a peer that is not alive is suspected
 */
public record PeerView(PeerFacts facts, long lastHeartbeatMs, boolean alive) {}
