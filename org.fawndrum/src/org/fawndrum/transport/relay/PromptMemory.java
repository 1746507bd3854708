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
 * The memory that one attempt reserves on several helper engines: all of it or none. Reservations
 * are short leases, so that the memory of a crashed daemon is released automatically. Leases are
 * renewed only on evidence that this request still needs the memory: data from its engine, or
 * reports of the helper engines. A request that waits for execution needs memory that it does not
 * use yet. Elapsed time on this host and a live engine are not evidence, because a request may be
 * open here long after its engine has dropped it. Confined to one event loop.
 */
final class PromptMemory {
  /**
   * Duration of a lease from the evidence that it is based on, in milliseconds. Operators allow
   * memory to be unused for 4 s, a request to an engine may take 0.3 s, and an engine's report may
   * be 0.2 s old.
   */
  static final long LEASE_MS = 3_500;

  /**
   * Minimum interval of renewals, in milliseconds. Decoding engines give evidence every few
   * milliseconds; with one renewal per second, two may be lost.
   */
  static final long MIN_RENEWAL_MS = 1_000;

  private static final int MAX_RELEASE_TRIES = 3;

  /** How long after being sent an unanswered reservation may still take effect, in milliseconds. */
  static final long MAX_LATE_MS = 12_000;

  /**
   * Interval at which memory is released again that a late reservation may have reserved, in
   * milliseconds. It is shorter than a lease, so that several late reservations do not add up to a
   * long one.
   */
  static final long RELEASE_INTERVAL_MS = 2_500;

  private final HostClock clock;
  private final Timer timer;
  private final EngineControl engineControl;
  private final List<HelperMemory> helperMemories;
  private final HostLog log;
  private final List<Lease> leases = new ArrayList<>();
  private final MemoryUseTracker useTracker = new MemoryUseTracker();
  private HostIdentity unreachable;
  private long reserveStartedMs;
  private long evidenceMs;
  private int reservesSent;
  private int unansweredReserves;
  private int useChecks;
  private boolean released;

  /**
   * The history of the reservation up to now.
   *
   * @param engines the engines that hold it, or may do so
   * @param heldMs time since the first reserve request was sent, in milliseconds
   * @param sinceEvidenceMs time since the evidence that the leases are based on, in milliseconds
   * @param orders the number of reserve requests sent, including renewals
   * @param unanswered the number of reserve requests without an answer, which may take effect late
   */
  record Usage(
      List<String> engines, long heldMs, long sinceEvidenceMs, int orders, int unanswered) {}

  /** Memory on one helper engine. */
  private record HelperMemory(Action.Helper helper, String ticket) {}

  /** Memory that is, or may be, reserved, with the last reserve request for it. */
  private static final class Lease {
    final HelperMemory memory;
    Future<Boolean> lastReserve;
    long lateUntilMs = HostClock.NEVER_MS;

    Lease(HelperMemory memory) {
      this.memory = memory;
    }
  }

  PromptMemory(
      HostClock clock,
      Timer timer,
      EngineControl engineControl,
      AttemptId attempt,
      List<Action.Helper> helpers,
      HostLog log) {
    this.clock = clock;
    this.timer = timer;
    this.engineControl = engineControl;
    this.log = log;
    String owner = Integer.toHexString(attempt.owner().hashCode());
    List<HelperMemory> memories = new ArrayList<>();
    for (int i = 0; i < helpers.size(); i++) {
      String ticket =
          helpers.get(i).memoryTokens() == 0
              ? ""
              : attempt.requestId() + "-" + owner + "-" + attempt.number() + "-" + i;
      memories.add(new HelperMemory(helpers.get(i), ticket));
    }
    this.helperMemories = List.copyOf(memories);
  }

  /** Returns the helper engines as the request names them to its own engine. */
  List<RelayCodec.Helper> helpers() {
    return helperMemories.stream()
        .map(memory -> new RelayCodec.Helper(memory.helper().endpoint().address(), memory.ticket()))
        .toList();
  }

  /** Returns whether any memory is, or may be, reserved. */
  boolean isReserved() {
    return !released && !leases.isEmpty();
  }

  /** Returns the history of the reservation up to now. */
  Usage usage() {
    List<String> engines =
        leases.stream().map(lease -> lease.memory.helper().endpoint().name()).toList();
    long nowMs = clock.nowMs();
    return new Usage(
        engines, nowMs - reserveStartedMs, nowMs - evidenceMs, reservesSent, unansweredReserves);
  }

  /** Reserves all memory; fails without keeping any if part of it is not available. */
  Future<Void> reserve() {
    reserveStartedMs = clock.nowMs();
    evidenceMs = reserveStartedMs;
    List<HelperMemory> sorted =
        helperMemories.stream()
            .filter(memory -> !memory.ticket().isEmpty())
            .sorted(Comparator.comparing(memory -> memory.helper().endpoint().name()))
            .toList();
    return reserveFrom(sorted, 0).onFailure(cause -> release());
  }

  private Future<Void> reserveFrom(List<HelperMemory> sorted, int index) {
    if (index == sorted.size()) {
      return Future.succeededFuture();
    }
    HelperMemory memory = sorted.get(index);
    // The memory counts as reserved from now on, because an unanswered request may have taken
    // effect.
    Lease lease = new Lease(memory);
    leases.add(lease);
    return sendReserve(lease, LEASE_MS)
        .compose(
            granted ->
                granted && !released
                    ? reserveFrom(sorted, index + 1)
                    : Future.failedFuture(
                        new EndpointMemoryShortException(memory.helper().endpoint().name())));
  }

  private Future<Boolean> sendReserve(Lease lease, long holdMs) {
    HelperMemory memory = lease.memory;
    reservesSent++;
    lease.lastReserve =
        engineControl
            .reserve(
                memory.helper().endpoint(), memory.ticket(), memory.helper().memoryTokens(), holdMs)
            .onFailure(cause -> reserveUnanswered(lease, cause));
    return lease.lastReserve;
  }

  private void reserveUnanswered(Lease lease, Throwable cause) {
    unansweredReserves++;
    lease.lateUntilMs = clock.nowMs() + MAX_LATE_MS;
    unreachable = lease.memory.helper().endpoint().identity();
    log.event(LogEvent.MEMORY_REQUEST_FAILED, lease.memory.ticket(), cause);
  }

  /**
   * Returns the engine that left the last unanswered request unanswered; empty if all were
   * answered.
   */
  Optional<HostIdentity> unreachable() {
    return Optional.ofNullable(unreachable);
  }

  /** Records that the answer of the request has started. */
  void answerStarted() {
    useTracker.recordStart();
  }

  /**
   * Requests the report of one of the helper engines, in turn, to determine whether this request
   * may still use its memory; fails if it does not, or if no answer arrives. Helper engines learn
   * of the request's completion from its own engine, even if that engine reports nothing to this
   * host.
   *
   * <p>This releases unused memory within 3 s if an engine is alive but has dropped the request.
   * Without it, the memory stayed reserved until the caller's deadline.
   *
   * @param requestEngine the pending report of the engine that the request was sent to
   */
  Future<Void> checkStillUsed(Future<EngineReport> requestEngine) {
    if (!isReserved()) {
      return requestEngine.mapEmpty();
    }
    HelperMemory memory = leases.get(useChecks++ % leases.size()).memory;
    Endpoint engine = memory.helper().endpoint();
    Future<EngineReport> helper = engineControl.report(engine);
    return Future.join(requestEngine, helper)
        .compose(
            both ->
                useTracker.mayBeInUse(
                        requestEngine.result(),
                        helper.result(),
                        memory.ticket(),
                        clock.nowMs() - reserveStartedMs)
                    ? Future.succeededFuture()
                    : Future.failedFuture(new MemoryUnusedException(engine.name())));
  }

  /**
   * Renews the leases if a renewal is due.
   *
   * @param atMs the time of the evidence, in milliseconds of the host's clock: the request needed
   *     the memory at that time or later
   */
  void renewOnEvidence(long atMs) {
    boolean expired = clock.nowMs() - atMs >= LEASE_MS;
    if (released || expired || atMs - evidenceMs < MIN_RENEWAL_MS) {
      return;
    }
    evidenceMs = atMs;
    // An unanswered renewal is repeated only with the next evidence, because each may take effect
    // late.
    leases.forEach(lease -> sendReserve(lease, atMs + LEASE_MS - clock.nowMs()));
  }

  /** Releases all memory; has no effect when called again. */
  void release() {
    if (released) {
      return;
    }
    released = true;
    leases.forEach(
        lease -> lease.lastReserve.onComplete(done -> releaseLease(lease, MAX_RELEASE_TRIES)));
  }

  /** Releases memory after the pending reserve request for it, which could reserve it again. */
  private void releaseLease(Lease lease, int triesLeft) {
    sendRelease(lease.memory, triesLeft);
    if (clock.nowMs() < lease.lateUntilMs) {
      // A late reservation is released repeatedly while it may still take effect.
      timer.runAfter(RELEASE_INTERVAL_MS, () -> releaseLease(lease, 1));
    }
  }

  private void sendRelease(HelperMemory memory, int triesLeft) {
    engineControl
        .release(memory.helper().endpoint(), memory.ticket())
        .onFailure(
            cause -> {
              if (triesLeft > 1) {
                sendRelease(memory, triesLeft - 1);
              } else {
                log.event(LogEvent.MEMORY_REQUEST_FAILED, memory.ticket(), cause);
              }
            });
  }
}
