// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.protocol.KeyedLog;

/**
 * The components that depend on the platform: on its callers, endpoints and store.
 *
 * @param codec reads and writes the headers of callers and endpoints
 * @param decoder decodes the store's records
 * @param store the store's logs
 * @param engineControl sends control requests to engines
 */
public record RelayAdapter(
    RelayCodec codec, RelayDecoder decoder, KeyedLog store, EngineControl engineControl) {}
