// SPDX-License-Identifier: Apache-2.0
/**
 * A randomized soak test, reproducible by seed. Daemons run as separate processes on loopback. The
 * store, the endpoints and the callers are stand-ins in the soak's process, connected to the
 * daemons through proxies. Faults are injected from outside the daemons only: signals, proxies that
 * delay, reset or drop connections, and faults of the stand-ins. What callers and endpoints observe
 * is checked against docs/PROMISES.md.
 */
package org.fawndrum.soak;
