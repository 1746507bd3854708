// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.errors.EndpointMemoryShortException;
import org.fawndrum.errors.MemoryUnusedException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;

/**
 * The memory that one attempt has set aside on several engines: all of it or none. It is held by
 * short leases, so that the memory of a daemon that died becomes free by itself. They are renewed
 * on evidence that this request still needs the memory, which is what comes from its engine or what
 * the holders of the memory say; one that waits for its turn needs what it does not use yet; never
 * on this host's own time, nor because the engine lives. A request may be open here long after its
 * engine has dropped it. Confined to one event loop.
 */
final class PromptMemory {
  /**
   * How long a lease goes beyond the evidence that it rests on, in milliseconds; operators allow
   * memory to lie unused for 4 s, an order may take 0.3 s, and what engines say may be 0.2 s old.
   */
  static final long LEASE_MS = 3_500;

  /**
   * The shortest time between renewals, in milliseconds: engines that write give evidence every few
   * milliseconds, and one order in a second is enough to let two be lost.
   */
  static final long RENEWAL_MS = 1_000;

  private static final int RELEASE_TRIES = 3;

  /** How long after its sending an order that got no answer may still be carried out, in ms. */
  static final long LATE_MS = 12_000;

  /**
   * The interval at which memory is released again that a late order may have set aside, in
   * milliseconds; shorter than a lease, so that several late orders never add up to a long one.
   */
  static final long RELEASE_AGAIN_MS = 2_500;

  private final HostClock clock;
  private final Timer timer;
  private final EngineOrders orders;
  private final List<Part> parts;
  private final HostLog log;
  private final List<Lease> leases = new ArrayList<>();
  private final MemoryUse use = new MemoryUse();
  private HostIdentity unreachable;
  private long reservedMs;
  private long renewedMs;
  private int ordersSent;
  private int ordersUnanswered;
  private int questions;
  private boolean freed;

  /** Runs steps later, on the same event loop. */
  interface Timer {
    void after(long ms, Runnable step);
  }

  /**
   * What became of the memory up to now.
   *
   * @param engines those that hold it, or may do so
   * @param heldMs how long ago the first order was sent, in milliseconds
   * @param sinceEvidenceMs how long ago the evidence dates on which the leases rest, in
   *     milliseconds
   * @param orders how many orders to set it aside were sent, renewals among them
   * @param unanswered how many of them got no answer, and may be carried out late
   */
  record Usage(
      List<String> engines, long heldMs, long sinceEvidenceMs, int orders, int unanswered) {}

  /** Memory on one engine. */
  private record Part(Action.Helper helper, String ticket) {}

  /** A part that is, or may be, set aside, with the last order about it. */
  private static final class Lease {
    final Part part;
    Future<Boolean> lastOrder;
    long lateUntilMs = HostClock.NEVER_MS;

    Lease(Part part) {
      this.part = part;
    }
  }

  PromptMemory(
      HostClock clock,
      Timer timer,
      EngineOrders orders,
      AttemptId attempt,
      List<Action.Helper> helpers,
      HostLog log) {
    this.clock = clock;
    this.timer = timer;
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

  /** Tells whether any memory is, or may be, set aside. */
  boolean held() {
    return !freed && !leases.isEmpty();
  }

  /** Tells what became of the memory up to now. */
  Usage usage() {
    List<String> engines =
        leases.stream().map(lease -> lease.part.helper().endpoint().name()).toList();
    long nowMs = clock.nowMs();
    return new Usage(engines, nowMs - reservedMs, nowMs - renewedMs, ordersSent, ordersUnanswered);
  }

  /** Sets all memory aside; fails, with nothing held, when any of it cannot be had. */
  Future<Void> reserve() {
    reservedMs = clock.nowMs();
    renewedMs = reservedMs;
    List<Part> inOrder =
        parts.stream()
            .filter(part -> !part.ticket().isEmpty())
            .sorted(Comparator.comparing(part -> part.helper().endpoint().name()))
            .toList();
    return reserveFrom(inOrder, 0).onFailure(cause -> free());
  }

  private Future<Void> reserveFrom(List<Part> inOrder, int index) {
    if (index == inOrder.size()) {
      return Future.succeededFuture();
    }
    Part part = inOrder.get(index);
    // It counts as held from here on: an order without an answer may have been carried out.
    Lease lease = new Lease(part);
    leases.add(lease);
    return order(lease, LEASE_MS)
        .compose(
            granted ->
                granted && !freed
                    ? reserveFrom(inOrder, index + 1)
                    : Future.failedFuture(
                        new EndpointMemoryShortException(part.helper().endpoint().name())));
  }

  private Future<Boolean> order(Lease lease, long holdMs) {
    Part part = lease.part;
    ordersSent++;
    lease.lastOrder =
        orders
            .reserve(part.helper().endpoint(), part.ticket(), part.helper().memoryTokens(), holdMs)
            .onFailure(cause -> unanswered(lease, cause));
    return lease.lastOrder;
  }

  private void unanswered(Lease lease, Throwable cause) {
    ordersUnanswered++;
    lease.lateUntilMs = clock.nowMs() + LATE_MS;
    unreachable = lease.part.helper().endpoint().identity();
    log.event(LogEvent.MEMORY_ORDER_FAILED, lease.part.ticket(), cause);
  }

  /** Returns the engine that did not answer the last order that got no answer. */
  Optional<HostIdentity> unreachable() {
    return Optional.ofNullable(unreachable);
  }

  /** Takes note that the answer of the request has begun. */
  void begun() {
    use.begun();
  }

  /**
   * Asks one of the engines that hold the memory, each time the next, whether this request may
   * still use it; fails when it does not, or when no answer comes. Each of them hears of the end of
   * the request from the engine that reads it, even when that says nothing to this host.
   *
   * <p>What it buys: memory that nobody uses is given back within 3 s, where it had stayed set
   * aside until the caller's deadline, with an engine that lives and has dropped the request.
   *
   * @param reader the report of the engine that the request was sent to, as it comes
   */
  Future<Void> stillUsed(Future<EngineReport> reader) {
    if (!held()) {
      return reader.mapEmpty();
    }
    Part part = leases.get(questions++ % leases.size()).part;
    Endpoint engine = part.helper().endpoint();
    Future<EngineReport> holder = orders.report(engine);
    return Future.join(reader, holder)
        .compose(
            both ->
                use.possible(
                        reader.result(), holder.result(), part.ticket(), clock.nowMs() - reservedMs)
                    ? Future.succeededFuture()
                    : Future.failedFuture(new MemoryUnusedException(engine.name())));
  }

  /**
   * Takes evidence that the request needs the memory and renews the leases if that is due.
   *
   * @param atMs at this time or later it was needed, in milliseconds of the host's clock
   */
  void neededAt(long atMs) {
    boolean over = clock.nowMs() - atMs >= LEASE_MS;
    if (freed || over || atMs - renewedMs < RENEWAL_MS) {
      return;
    }
    renewedMs = atMs;
    // One that gets no answer is sent again with the next evidence: each may be carried out late.
    leases.forEach(lease -> order(lease, atMs + LEASE_MS - clock.nowMs()));
  }

  /** Frees everything; does nothing when called again. */
  void free() {
    if (freed) {
      return;
    }
    freed = true;
    leases.forEach(lease -> lease.lastOrder.onComplete(done -> end(lease, RELEASE_TRIES)));
  }

  /** Frees a part once no order about it is on its way, which could set it aside again. */
  private void end(Lease lease, int tries) {
    release(lease.part, tries);
    if (clock.nowMs() < lease.lateUntilMs) {
      // What an order without an answer sets aside late is taken back each time.
      timer.after(RELEASE_AGAIN_MS, () -> end(lease, 1));
    }
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
