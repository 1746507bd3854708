// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.duty;

import java.util.concurrent.locks.LockSupport;

/** Unparks a thread whose stop flag is set and waits for it to terminate. */
public final class StopThread {
  private static final long MAX_JOIN_MS = 2_000;

  private StopThread() {}

  /**
   * Waits until a thread terminates, at most two seconds. If the caller is interrupted, this
   * returns at once with the interrupt flag set.
   */
  public static void call(Thread thread) {
    LockSupport.unpark(thread);
    try {
      thread.join(MAX_JOIN_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
