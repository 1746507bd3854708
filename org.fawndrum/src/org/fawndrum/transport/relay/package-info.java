// SPDX-License-Identifier: Apache-2.0
/**
 * Relays callers' requests to endpoints unchanged, and endpoints' answers to callers. The format of
 * the headers is defined by a {@link org.fawndrum.transport.relay.RelayCodec}.
 */
package org.fawndrum.transport.relay;
