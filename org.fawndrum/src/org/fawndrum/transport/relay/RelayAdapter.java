// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.protocol.KeyedLog;

/**
 * Everything that depends on whose callers, endpoints and store a host meets.
 *
 * @param codec knows the messages of callers and endpoints
 * @param decoder knows the store's records
 * @param store the store's logs
 * @param orders sends orders to engines
 */
public record RelayAdapter(
    RelayCodec codec, RelayDecoder decoder, KeyedLog store, EngineOrders orders) {}
