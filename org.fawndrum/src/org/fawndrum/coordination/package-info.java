// SPDX-License-Identifier: Apache-2.0
/**
 * The decisions of a host: admission, queue order, placement, limits, retries, claims and
 * membership. The code here does not read clocks, sockets or random sources; time, random numbers
 * and identity are passed in with the events.
 */
package org.fawndrum.coordination;
