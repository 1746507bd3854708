// SPDX-License-Identifier: Apache-2.0
/**
 * Decides which requests end because their callers or endpoints read too slowly. Pure: no clock,
 * socket or thread.
 */
package org.fawndrum.coordination.backpressure;
