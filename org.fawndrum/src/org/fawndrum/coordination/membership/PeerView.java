// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

/**
 * Another daemon as this host sees it.
 *
 * @param facts what it last said
 * @param heardMs when that was heard, in milliseconds of this host's clock
 * @param alive whether it was heard of lately; a peer that is not alive is suspected
 */
public record PeerView(PeerFacts facts, long heardMs, boolean alive) {}
