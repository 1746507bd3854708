// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.netty.util.concurrent.EventExecutor;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Ends the process while none of its event loops waits in native code. The JVM waits at its exit
 * for threads in native code, which is where an event loop waits for its connections: 300 ms or
 * more (HotSpot's {@code VM_Exit}), in which callers stay connected to a process that reads nothing
 * any more. A loop that is held by a task delays nothing.
 */
public final class ProcessExit {
  /**
   * Maximum wait for the loops, in milliseconds: no longer than the JVM would wait. An idle loop is
   * held within a fraction of one, on a busy machine as soon as its thread gets a core.
   */
  private static final long HOLD_MS = 300;

  private final List<EventExecutor> loops;
  private final Runnable halt;
  private final CountDownLatch halted = new CountDownLatch(1);

  /**
   * Creates an exit that has not begun.
   *
   * @param loops all event loops of the process
   * @param halt ends the process
   */
  public ProcessExit(List<EventExecutor> loops, Runnable halt) {
    this.loops = List.copyOf(loops);
    this.halt = halt;
  }

  /**
   * Holds the event loops and ends the process. Called once, by any thread, which may be one of the
   * loops. The loops go on if {@code halt} returns.
   */
  public void call() {
    List<EventExecutor> others = loops.stream().filter(loop -> !loop.inEventLoop()).toList();
    CountDownLatch held = new CountDownLatch(others.size());
    others.forEach(loop -> hold(loop, held));
    await(held);
    try {
      halt.run();
    } finally {
      halted.countDown();
    }
  }

  private void hold(EventExecutor loop, CountDownLatch held) {
    try {
      loop.execute(
          () -> {
            held.countDown();
            awaitHalt();
          });
    } catch (RejectedExecutionException e) {
      // The loop is closed and waits for nothing.
      held.countDown();
    }
  }

  private void awaitHalt() {
    try {
      halted.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void await(CountDownLatch held) {
    try {
      held.await(HOLD_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      // The process ends, with or without the loops.
      Thread.currentThread().interrupt();
    }
  }
}
