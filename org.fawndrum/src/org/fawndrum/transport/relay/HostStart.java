// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Future;
import java.util.function.BooleanSupplier;
import org.fawndrum.errors.AddressUnavailableException;
import org.fawndrum.state.HostAddress;

/**
 * The order in which a host starts: it reads the store, serves callers, and joins the other hosts.
 * Many hosts may start at once on machines that have little processor time, and messages between
 * hosts that start would take it from what their callers wait for. A host that the store does not
 * serve joins at once, because other hosts may have what it needs. Confined to one event loop.
 */
final class HostStart {
  /** Interval at which the state of the host is looked at, in milliseconds. */
  private static final long POLL_MS = 20;

  private final Timer timer;
  private final BooleanSupplier hasState;
  private final BooleanSupplier storeUnavailable;
  private final Runnable join;
  private final StartLog log;
  private boolean joined;

  /**
   * Creates a start that has not begun.
   *
   * @param timer runs steps on the event loop
   * @param hasState whether the host has the state that it needs to serve callers
   * @param storeUnavailable whether the store did not answer this host
   * @param join has this host join the others; called once
   * @param log is told once that the host can serve
   */
  HostStart(
      Timer timer,
      BooleanSupplier hasState,
      BooleanSupplier storeUnavailable,
      Runnable join,
      StartLog log) {
    this.timer = timer;
    this.hasState = hasState;
    this.storeUnavailable = storeUnavailable;
    this.join = join;
    this.log = log;
  }

  /** Returns a future that fails with the purpose and the address if listening fails. */
  static <T> Future<T> listenOn(String purpose, HostAddress address, Future<T> listening) {
    return listening.recover(
        cause -> Future.failedFuture(new AddressUnavailableException(purpose, address, cause)));
  }

  /** Begins; the host reads the store already. */
  void begin() {
    boolean serves = hasState.getAsBoolean();
    if (!joined && (serves || storeUnavailable.getAsBoolean())) {
      joined = true;
      join.run();
    }
    if (serves) {
      log.serving();
    } else {
      timer.runAfter(POLL_MS, this::begin);
    }
  }
}
