// SPDX-License-Identifier: Apache-2.0
/**
 * At-most-once execution of requests that must not be repeated, across hosts, restarts and network
 * partitions, without a store: a host runs such a request only if it is certainly the first
 * sending, or if all other hosts that may have run it answer that they did not and will not.
 */
package org.fawndrum.coordination.once;
