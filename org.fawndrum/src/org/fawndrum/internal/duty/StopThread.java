// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.duty;

import java.util.concurrent.locks.LockSupport;

/** Ends a thread that was told to stop: wakes it and waits a while for its end. */
public final class StopThread {
  private static final long JOIN_MS = 2_000;

  private StopThread() {}

  /** Waits for a thread's end, at most two seconds. */
  public static void call(Thread thread) {
    LockSupport.unpark(thread);
    try {
      thread.join(JOIN_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
