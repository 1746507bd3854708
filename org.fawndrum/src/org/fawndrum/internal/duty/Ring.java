// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.duty;

import java.util.concurrent.atomic.AtomicLong;
import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded ring that many threads offer to and one thread polls. A full ring refuses; it never
 * blocks and never grows. A part of it is kept for events that must not be refused as lightly as
 * new work.
 *
 * @param <E> the events
 */
public final class Ring<E> {
  private static final int KEPT_PARTS = 8;

  private final MpscArrayQueue<E> queue;
  private final int openCapacity;
  private final AtomicLong refused = new AtomicLong();

  /**
   * Makes an empty ring.
   *
   * @param capacity how many events it holds; a power of two, at least 8
   */
  public Ring(int capacity) {
    queue = new MpscArrayQueue<>(capacity);
    openCapacity = capacity - capacity / KEPT_PARTS;
  }

  /** Offers new work; refused when only the kept part is free. Returns whether it was taken. */
  public boolean offerNew(E event) {
    if (queue.offerIfBelowThreshold(event, openCapacity)) {
      return true;
    }
    refused.incrementAndGet();
    return false;
  }

  /** Offers an event about work already taken. Returns whether it was taken. */
  public boolean offer(E event) {
    if (queue.offer(event)) {
      return true;
    }
    refused.incrementAndGet();
    return false;
  }

  /** Takes the oldest event, or null when there is none. For the duty's thread only. */
  public E poll() {
    return queue.poll();
  }

  /** Returns how many offers were refused since the start. */
  public long refused() {
    return refused.get();
  }

  /** Returns about how many events wait. */
  public int size() {
    return queue.size();
  }
}
