// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.errors.EndpointMemoryShortException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;

/**
 * The memory that one attempt has set aside on several engines: all of it or none. It is held by
 * short leases that are renewed while the attempt lasts, so that the memory of a daemon that died
 * becomes free by itself. Confined to one event loop.
 */
final class PromptMemory {
  /** The length of a lease, in milliseconds; below what operators allow unused. */
  private static final long LEASE_MS = 3_500;

  /** The interval of renewals, in milliseconds: two may be lost before the lease is over. */
  private static final long RENEWAL_MS = 1_200;

  private static final int RELEASE_TRIES = 3;
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final EngineOrders orders;
  private final List<Part> parts;
  private final HostLog log;
  private final List<Part> held = new ArrayList<>();
  private long timer = NO_TIMER;
  private boolean freed;

  /** Memory on one engine. */
  private record Part(Action.Helper helper, String ticket) {}

  PromptMemory(
      Vertx vertx,
      EngineOrders orders,
      AttemptId attempt,
      List<Action.Helper> helpers,
      HostLog log) {
    this.vertx = vertx;
    this.orders = orders;
    this.log = log;
    String owner = Integer.toHexString(attempt.owner().hashCode());
    List<Part> all = new ArrayList<>();
    for (int i = 0; i < helpers.size(); i++) {
      String ticket =
          helpers.get(i).memoryTokens() == 0
              ? ""
              : attempt.requestId() + "-" + owner + "-" + attempt.number() + "-" + i;
      all.add(new Part(helpers.get(i), ticket));
    }
    this.parts = List.copyOf(all);
  }

  /** Returns what the request tells its first engine about the others. */
  List<RelayCodec.Helper> helpers() {
    return parts.stream()
        .map(part -> new RelayCodec.Helper(part.helper().endpoint().address(), part.ticket()))
        .toList();
  }

  /** Sets all memory aside; fails, with nothing held, when any of it cannot be had. */
  Future<Void> reserve() {
    List<Part> inOrder =
        parts.stream()
            .filter(part -> !part.ticket().isEmpty())
            .sorted(Comparator.comparing(part -> part.helper().endpoint().name()))
            .toList();
    if (inOrder.isEmpty()) {
      return Future.succeededFuture();
    }
    return reserveFrom(inOrder, 0)
        .onSuccess(
            v -> {
              if (!freed) {
                timer = vertx.setPeriodic(RENEWAL_MS, id -> renew());
              }
            })
        .onFailure(cause -> free());
  }

  private Future<Void> reserveFrom(List<Part> inOrder, int index) {
    if (index == inOrder.size()) {
      return Future.succeededFuture();
    }
    Part part = inOrder.get(index);
    // It counts as held from here on: an order without an answer may have been carried out.
    held.add(part);
    return order(part)
        .compose(
            granted ->
                granted && !freed
                    ? reserveFrom(inOrder, index + 1)
                    : Future.failedFuture(
                        new EndpointMemoryShortException(part.helper().endpoint().name())));
  }

  private Future<Boolean> order(Part part) {
    return orders.reserve(
        part.helper().endpoint(), part.ticket(), part.helper().memoryTokens(), LEASE_MS);
  }

  private void renew() {
    for (Part part : held) {
      order(part).onFailure(cause -> log.event(LogEvent.MEMORY_ORDER_FAILED, part.ticket(), cause));
    }
  }

  /** Frees everything; does nothing when called again. */
  void free() {
    if (freed) {
      return;
    }
    freed = true;
    if (timer != NO_TIMER) {
      vertx.cancelTimer(timer);
    }
    held.forEach(part -> release(part, RELEASE_TRIES));
  }

  private void release(Part part, int tries) {
    orders
        .release(part.helper().endpoint(), part.ticket())
        .onFailure(
            cause -> {
              if (tries > 1) {
                release(part, tries - 1);
              } else {
                log.event(LogEvent.MEMORY_ORDER_FAILED, part.ticket(), cause);
              }
            });
  }
}
