// SPDX-License-Identifier: Apache-2.0
/**
 * The decisions: admission, order, placement, limits, retries, claims and membership. Nothing here
 * reads a clock, a socket or chance; time, random numbers and identity come in with the events.
 */
package org.fawndrum.coordination;
