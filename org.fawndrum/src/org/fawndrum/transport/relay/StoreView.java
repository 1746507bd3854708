// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.protocol.StorePosition;

/**
 * How far a daemon has read the platform's store.
 *
 * @param configurationRevision the revision in force; negative when none is
 * @param endpointsChanged the end of the endpoints' log after the last change that matters
 */
record StoreView(long configurationRevision, StorePosition endpointsChanged) {}
