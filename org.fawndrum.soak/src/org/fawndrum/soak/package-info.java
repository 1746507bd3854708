// SPDX-License-Identifier: Apache-2.0
/**
 * A randomized, seeded soak. Daemons run as processes of their own on loopback; store, endpoints
 * and callers are stand-ins in the soak's process, with proxies between them and the daemons.
 * Faults come from outside only: signals, and proxies that delay, reset or silence connections.
 * What callers and endpoints see is checked against docs/PROMISES.md.
 */
package org.fawndrum.soak;
