// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.protocol.StorePosition;
import org.fawndrum.protocol.ZoneDrains;

/**
 * The store positions that a daemon has read, and the drained zones.
 *
 * @param configurationRevision the revision in force; negative if there is none
 * @param endpointsChanged the position after the last change of the endpoints' entries
 * @param zoneDrains the drained zones that it knows; {@link ZoneDrains#NONE} if it knows none yet
 */
record StorePositions(
    long configurationRevision, StorePosition endpointsChanged, ZoneDrains zoneDrains) {}
