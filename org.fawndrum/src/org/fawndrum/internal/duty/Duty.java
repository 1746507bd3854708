// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.duty;

import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;

/**
 * A thread with one duty: it takes events from its ring in order and ticks when its ticker wants
 * to. A failure in one event is logged and does not end the duty.
 *
 * @param <E> the events
 */
public final class Duty<E> implements AutoCloseable {
  private static final int BATCH = 256;
  private static final long NANOS_PER_MS = 1_000_000;

  /** The pause before a tick that failed runs again, in milliseconds. */
  private static final long AFTER_FAILURE_MS = 100;

  private final String name;
  private final Ring<E> ring;
  private final Consumer<E> handler;
  private final Ticker ticker;
  private final boolean tickAfterEvents;
  private final HostLog log;
  private final Thread thread;
  private volatile boolean stopping;

  /** Work that the duty does by itself, on its own thread. */
  public interface Ticker {
    /** Does what is due and returns in how many milliseconds it wants to run again, at least 1. */
    long tick();
  }

  /**
   * Makes a duty that has not started and that ticks at a steady interval.
   *
   * @param name the thread's name
   * @param ring where its events come from
   * @param handler handles one event, on the duty's thread
   * @param tick runs on the duty's thread
   * @param tickMs the interval between ticks, in milliseconds
   * @param log where failures go
   */
  public Duty(
      String name, Ring<E> ring, Consumer<E> handler, Runnable tick, long tickMs, HostLog log) {
    this(name, ring, handler, steadily(tick, tickMs), false, log);
  }

  /**
   * Makes a duty that has not started and that sleeps until its ticker's next time or an event.
   *
   * @param name the thread's name
   * @param ring where its events come from
   * @param handler handles one event, on the duty's thread
   * @param ticker runs on the duty's thread, after events too
   * @param log where failures go
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

  private static Ticker steadily(Runnable tick, long tickMs) {
    return () -> {
      tick.run();
      return tickMs;
    };
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Offers new work; see {@link Ring#offerNew}. */
  public boolean offerNew(E event) {
    boolean taken = ring.offerNew(event);
    if (taken) {
      LockSupport.unpark(thread);
    }
    return taken;
  }

  /** Offers an event about work already taken; see {@link Ring#offer}. */
  public boolean offer(E event) {
    boolean taken = ring.offer(event);
    if (taken) {
      LockSupport.unpark(thread);
    }
    return taken;
  }

  /** Returns the duty's name. */
  public String name() {
    return name;
  }

  /** Returns the ring. */
  public Ring<E> ring() {
    return ring;
  }

  /** Ends the thread; events still in the ring are not handled. */
  @Override
  public void close() {
    stopping = true;
    StopThread.call(thread);
  }

  private void run() {
    long nextTick = System.nanoTime();
    while (!stopping) {
      int handled = handleBatch();
      long now = System.nanoTime();
      boolean due = now - nextTick >= 0 || tickAfterEvents && handled > 0;
      if (due) {
        nextTick = now + ticked() * NANOS_PER_MS;
      } else if (handled == 0) {
        LockSupport.parkNanos(nextTick - now);
      }
    }
  }

  private long ticked() {
    try {
      return Math.max(1, ticker.tick());
    } catch (RuntimeException e) {
      log.failure(LogEvent.DUTY_FAILED, e, name);
      return AFTER_FAILURE_MS;
    }
  }

  private int handleBatch() {
    int handled = 0;
    while (handled < BATCH) {
      E event = ring.poll();
      if (event == null) {
        break;
      }
      guarded(event);
      handled++;
    }
    return handled;
  }

  private void guarded(E event) {
    try {
      handler.accept(event);
    } catch (RuntimeException e) {
      log.failure(LogEvent.DUTY_FAILED, e, name);
    }
  }
}
