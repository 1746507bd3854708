// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.LogRecord;
import org.jboss.logmanager.ExtHandler;
import org.jboss.logmanager.ExtLogRecord;
import org.jboss.logmanager.Level;
import org.jboss.logmanager.handlers.AsyncHandler;

/**
 * Log lines that wait for the thread that writes them. The queue is bounded; lines that exceed it
 * are dropped, so that a slow reader blocks no thread. Its thread does not keep the process alive:
 * who ends the process calls {@link #awaitWritten} before. Safe for all threads.
 */
final class LogQueue {
  /** Interval at which the end mark is offered again to a queue that is full, in milliseconds. */
  private static final long OFFER_MS = 5;

  private final AsyncHandler handler;

  /**
   * Creates a queue in front of an output, and starts its thread.
   *
   * @param maxLines maximum number of lines that wait
   */
  LogQueue(ExtHandler output, int maxLines) {
    handler = new AsyncHandler(maxLines);
    handler.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
    handler.setLevel(Level.ALL);
    output.setFilter(LogQueue::isLine);
    handler.addHandler(output);
  }

  /** A record behind the last line; it is not written. */
  private static final class EndMark extends ExtLogRecord {
    private static final long serialVersionUID = 1;

    private final transient CountDownLatch reached = new CountDownLatch(1);

    EndMark() {
      super(Level.INFO, "end", LogQueue.class.getName());
    }
  }

  /** Returns whether a record is to be written; a mark shows that all before it have been. */
  private static boolean isLine(LogRecord record) {
    if (record instanceof EndMark mark) {
      mark.reached.countDown();
      return false;
    }
    return true;
  }

  /** Returns the handler that puts log records into the queue. */
  ExtHandler handler() {
    return handler;
  }

  /**
   * Waits until all lines that are queued now have been written, or a time has passed.
   *
   * @param maxMs maximum wait, in milliseconds
   */
  void awaitWritten(long maxMs) {
    EndMark mark = new EndMark();
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMs);
    try {
      do {
        // A full queue drops it.
        handler.publish(mark);
      } while (!mark.reached.await(OFFER_MS, TimeUnit.MILLISECONDS)
          && System.nanoTime() < deadlineNanos);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
