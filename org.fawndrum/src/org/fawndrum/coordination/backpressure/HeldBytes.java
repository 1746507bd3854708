// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.backpressure;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Counts what a host holds for callers and endpoints, and decides which requests end because of it:
 * those whose callers read nothing for too long, and, when the limit of all is reached, the one
 * that holds most for a reader that reads nothing, or else slowly. Times are those of the host's
 * clock, in milliseconds. Confined to one thread, except for the two counts.
 *
 * @param <K> identifies a connection of a caller
 */
public final class HeldBytes<K> {
  /**
   * Time without progress after which a reader counts as slow, in milliseconds. Fast readers leave
   * bytes queued for a round trip only.
   */
  static final long SLOW_AFTER_MS = 300;

  private final Supplier<HoldLimits> limits;
  private final Map<K, ConnectionHold> holds = new LinkedHashMap<>();
  private long keptBytes;
  private long queuedBytes;
  private volatile long totalBytes;
  private volatile int slowCallers;

  /** Creates the counter; the limits may change at run time. */
  public HeldBytes(Supplier<HoldLimits> limits) {
    this.limits = limits;
  }

  /** Adds a connection. */
  public void opened(K connection) {
    holds.put(connection, new ConnectionHold());
  }

  /** Removes a closed connection with all that was held for it. */
  public void closed(K connection) {
    ConnectionHold hold = holds.remove(connection);
    if (hold != null) {
      queuedBytes = Math.max(0, queuedBytes - hold.queuedBytes());
      requestEnded(hold.request());
    }
  }

  /** Returns what is held for a connection; empty if it is closed. */
  public Optional<ConnectionHold> of(K connection) {
    return Optional.ofNullable(holds.get(connection));
  }

  /** Adds a request, the only one in progress on its connection. */
  public RequestHold requestStarted(K connection, String id) {
    RequestHold request = new RequestHold(id);
    ConnectionHold hold = holds.get(connection);
    if (hold == null) {
      request.end();
    } else {
      requestEnded(hold.request());
      hold.requestStarted(request);
    }
    return request;
  }

  /** Returns whether this number of bytes more can be held. */
  public boolean hasRoomFor(long bytes) {
    return totalBytes + bytes <= limits.get().totalBytes();
  }

  /** Adds bytes that are kept for a request until it ends; negative ones are no longer kept. */
  public void keep(RequestHold request, long bytes) {
    keptBytes += request.add(bytes);
    count();
  }

  /** Removes what was kept for a request; has no effect when called again. */
  public void requestEnded(RequestHold request) {
    keptBytes -= request.end();
    count();
  }

  /** Updates the write queues of all connections. */
  public void sample(Function<K, WriteQueue> queueOf, long nowMs) {
    queuedBytes = 0;
    int slow = 0;
    for (Map.Entry<K, ConnectionHold> entry : holds.entrySet()) {
      ConnectionHold hold = entry.getValue();
      hold.sample(queueOf.apply(entry.getKey()), nowMs);
      queuedBytes += hold.queuedBytes();
      slow += hold.unreadMs(nowMs) >= SLOW_AFTER_MS ? 1 : 0;
    }
    slowCallers = slow;
    count();
  }

  /** Returns the connections whose callers left queued bytes unread for too long. */
  public List<K> unreadTooLong(long nowMs) {
    if (slowCallers == 0) {
      return List.of();
    }
    long maxMs = limits.get().unreadMs();
    return holds.entrySet().stream()
        .filter(entry -> entry.getValue().isUnreadTooLong(maxMs, nowMs))
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns the connection that holds most for a caller or an endpoint that reads nothing; if there
   * is none, the one that holds most for a caller that reads slowly.
   */
  public Optional<K> largestSlow(long nowMs) {
    Comparator<ConnectionHold> readsNothing = Comparator.comparing(hold -> !hold.slowlyRead());
    return holds.entrySet().stream()
        .filter(entry -> entry.getValue().blockedMs(nowMs) >= SLOW_AFTER_MS)
        .max(Map.Entry.comparingByValue(readsNothing.thenComparingLong(ConnectionHold::totalBytes)))
        .map(Map.Entry::getKey);
  }

  private void count() {
    totalBytes = keptBytes + queuedBytes;
  }

  /** Returns the bytes held for all connections; thread-safe. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Returns the number of callers that read slowly; thread-safe. */
  public int slowCallers() {
    return slowCallers;
  }
}
