// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.protocol.StorePosition;

/**
 * The store positions that a daemon has read.
 *
 * @param configurationRevision the revision in force; negative if there is none
 * @param endpointsChanged the position after the last change of the endpoints' entries
 */
record StorePositions(long configurationRevision, StorePosition endpointsChanged) {}
