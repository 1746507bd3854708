// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.duty;

import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;

/**
 * A daemon thread that polls events from a bounded ring, handles them in order and runs a periodic
 * tick. A runtime exception from the handler or the ticker is logged and does not end the thread.
 *
 * @param <E> the type of the events
 */
public final class Duty<E> implements AutoCloseable {
  /** Maximum number of events handled between two checks of the tick time. */
  private static final int MAX_BATCH = 256;

  private static final long NANOS_PER_MS = 1_000_000;

  /** Delay before the next tick after a tick that threw, in milliseconds. */
  private static final long FAILED_TICK_RETRY_MS = 100;

  private final String name;
  private final Ring<E> ring;
  private final Consumer<E> handler;
  private final Ticker ticker;
  private final boolean tickAfterEvents;
  private final HostLog log;
  private final Thread thread;
  private volatile boolean stopping;

  /** Periodic work that runs on the thread of the duty. */
  public interface Ticker {
    /**
     * Runs the work that is due.
     *
     * @return the delay until the next tick in milliseconds; values below 1 count as 1
     */
    long tick();
  }

  /**
   * Creates a duty that ticks at a fixed interval. The thread runs once {@link #start} is called.
   *
   * @param name the name of the thread
   * @param ring the ring from which the events are polled
   * @param handler handles one event; runs on the duty's thread
   * @param tick the periodic work; runs on the duty's thread
   * @param tickMs the interval between ticks, in milliseconds
   * @param log the log for exceptions of the handler and the ticker
   */
  public Duty(
      String name, Ring<E> ring, Consumer<E> handler, Runnable tick, long tickMs, HostLog log) {
    this(name, ring, handler, atFixedInterval(tick, tickMs), false, log);
  }

  /**
   * Creates a duty that ticks after each batch of events and after the delay that its ticker
   * returned. The thread runs once {@link #start} is called.
   *
   * @param name the name of the thread
   * @param ring the ring from which the events are polled
   * @param handler handles one event; runs on the duty's thread
   * @param ticker the periodic work; runs on the duty's thread
   * @param log the log for exceptions of the handler and the ticker
   */
  public Duty(String name, Ring<E> ring, Consumer<E> handler, Ticker ticker, HostLog log) {
    this(name, ring, handler, ticker, true, log);
  }

  private Duty(
      String name,
      Ring<E> ring,
      Consumer<E> handler,
      Ticker ticker,
      boolean tickAfterEvents,
      HostLog log) {
    this.name = name;
    this.ring = ring;
    this.handler = handler;
    this.ticker = ticker;
    this.tickAfterEvents = tickAfterEvents;
    this.log = log;
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  private static Ticker atFixedInterval(Runnable tick, long tickMs) {
    return () -> {
      tick.run();
      return tickMs;
    };
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Offers an event of new work and wakes the thread; see {@link Ring#offerNew}. */
  public boolean offerNew(E event) {
    boolean accepted = ring.offerNew(event);
    if (accepted) {
      LockSupport.unpark(thread);
    }
    return accepted;
  }

  /** Offers an event of accepted work and wakes the thread; see {@link Ring#offer}. */
  public boolean offer(E event) {
    boolean accepted = ring.offer(event);
    if (accepted) {
      LockSupport.unpark(thread);
    }
    return accepted;
  }

  /** Returns the name of the duty, which is also the thread's name. */
  public String name() {
    return name;
  }

  /** Returns the ring from which this duty polls its events. */
  public Ring<E> ring() {
    return ring;
  }

  /** Stops the thread and waits for it; events still in the ring are not handled. */
  @Override
  public void close() {
    stopping = true;
    StopThread.call(thread);
  }

  private void run() {
    long nextTickNanos = System.nanoTime();
    while (!stopping) {
      int handled = handleBatch();
      long nowNanos = System.nanoTime();
      boolean due = nowNanos - nextTickNanos >= 0 || tickAfterEvents && handled > 0;
      if (due) {
        nextTickNanos = nowNanos + runTick() * NANOS_PER_MS;
      } else if (handled == 0) {
        LockSupport.parkNanos(nextTickNanos - nowNanos);
      }
    }
  }

  private long runTick() {
    try {
      return Math.max(1, ticker.tick());
    } catch (RuntimeException e) {
      log.failure(LogEvent.DUTY_FAILED, e, name);
      return FAILED_TICK_RETRY_MS;
    }
  }

  private int handleBatch() {
    int handled = 0;
    while (handled < MAX_BATCH) {
      E event = ring.poll();
      if (event == null) {
        break;
      }
      handleSafely(event);
      handled++;
    }
    return handled;
  }

  private void handleSafely(E event) {
    try {
      handler.accept(event);
    } catch (RuntimeException e) {
      log.failure(LogEvent.DUTY_FAILED, e, name);
    }
  }
}
