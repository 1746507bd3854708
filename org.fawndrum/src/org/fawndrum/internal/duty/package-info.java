// SPDX-License-Identifier: Apache-2.0
/** Threads with an event queue and a periodic tick; the queues are bounded ring buffers. */
package org.fawndrum.internal.duty;
