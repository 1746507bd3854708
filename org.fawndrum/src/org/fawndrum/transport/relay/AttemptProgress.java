// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.transport.HostClock;

/**
 * When an attempt started, was connected and last made progress, in milliseconds of the host's
 * clock. Confined to the event loop of its attempt.
 */
final class AttemptProgress {
  private final HostClock clock;
  private long startedMs = HostClock.NEVER_MS;
  private long openedMs = HostClock.NEVER_MS;
  private long lastProgressMs;
  private long excusedMs = HostClock.NEVER_MS;

  AttemptProgress(HostClock clock) {
    this.clock = clock;
  }

  void started() {
    startedMs = clock.nowMs();
  }

  /** Records that the connection is open, and the request about to be written. */
  void opened() {
    openedMs = clock.nowMs();
    lastProgressMs = openedMs;
  }

  /** Records progress, or that what came before tells nothing about the endpoint. */
  void progressed() {
    lastProgressMs = clock.nowMs();
  }

  /** Begins to count the silence of the endpoint anew, because this host was paused. */
  void excuse() {
    excusedMs = clock.nowMs();
  }

  /** Returns the time of the last progress; 0 if the connection was not opened. */
  long lastProgressMs() {
    return lastProgressMs;
  }

  /** Returns the time without progress, in milliseconds; -1 if the connection was not opened. */
  long silentMs() {
    return wasOpened() ? clock.nowMs() - Math.max(lastProgressMs, excusedMs) : -1;
  }

  private boolean wasOpened() {
    return openedMs != HostClock.NEVER_MS;
  }

  /** Returns how long the attempt has lasted, in milliseconds. */
  long sinceStartMs() {
    return clock.nowMs() - startedMs;
  }

  /** Returns how long the connection took to open, in milliseconds; -1 if it was not opened. */
  long openingMs() {
    return wasOpened() ? openedMs - startedMs : -1;
  }
}
