// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

/** Runs steps later, on the event loop of its user. */
interface Timer {
  /** Runs a step after a time, in milliseconds. */
  void runAfter(long delayMs, Runnable step);
}
