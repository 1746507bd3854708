// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.duty;

import java.util.concurrent.atomic.AtomicLong;
import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded ring buffer with many producers and one consumer. It never blocks and never grows: an
 * offer to a full ring is refused. New work may fill only part of the capacity; the rest is
 * reserved for events of work that was accepted earlier, so that load does not block its
 * completion.
 *
 * @param <E> the type of the events
 */
public final class Ring<E> {
  /** One part in this many of the capacity is reserved for events of accepted work. */
  private static final int RESERVED_DIVISOR = 8;

  private final MpscArrayQueue<E> queue;
  private final int newWorkCapacity;
  private final AtomicLong refused = new AtomicLong();

  /**
   * Creates an empty ring.
   *
   * @param capacity the maximum number of events; a power of two, at least 8
   */
  public Ring(int capacity) {
    queue = new MpscArrayQueue<>(capacity);
    newWorkCapacity = capacity - capacity / RESERVED_DIVISOR;
  }

  /**
   * Offers an event of new work, which is refused when only the reserved part is free.
   *
   * @return whether the event was added
   */
  public boolean offerNew(E event) {
    if (queue.offerIfBelowThreshold(event, newWorkCapacity)) {
      return true;
    }
    refused.incrementAndGet();
    return false;
  }

  /**
   * Offers an event of work that was accepted earlier, which may use the reserved part.
   *
   * @return whether the event was added
   */
  public boolean offer(E event) {
    if (queue.offer(event)) {
      return true;
    }
    refused.incrementAndGet();
    return false;
  }

  /** Removes and returns the oldest event, or null when empty. Only for the consumer thread. */
  public E poll() {
    return queue.poll();
  }

  /** Returns the number of offers refused since this ring was created. */
  public long refused() {
    return refused.get();
  }

  /** Returns the approximate number of queued events. */
  public int size() {
    return queue.size();
  }
}
