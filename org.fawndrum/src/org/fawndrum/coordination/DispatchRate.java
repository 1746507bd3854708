// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures the rate at which waiting work of each target is sent to endpoints, as a basis for
 * expected waits and retry delays. Confined to one thread.
 */
final class DispatchRate {
  private static final double HALF_LIFE_MS = 5_000;
  private static final double MS_PER_SECOND = 1000.0;

  private final Map<RequestTarget, DecayingSum> byTarget = new HashMap<>();

  /** A sum with exponential decay. */
  private static final class DecayingSum {
    double sum;
    long lastMs;
    long firstMs;

    void decay(long nowMs) {
      if (nowMs > lastMs) {
        sum *= Math.pow(0.5, (nowMs - lastMs) / HALF_LIFE_MS);
        lastMs = nowMs;
      }
    }
  }

  void recordDispatch(RequestTarget target, long tokens, long nowMs) {
    DecayingSum dispatched = byTarget.get(target);
    if (dispatched == null) {
      dispatched = new DecayingSum();
      dispatched.firstMs = nowMs;
      dispatched.lastMs = nowMs;
      byTarget.put(target, dispatched);
    }
    dispatched.decay(nowMs);
    dispatched.sum += tokens;
  }

  /** Returns the rate in tokens per second, or 0 if the measurement is too short. */
  double tokensPerSecond(RequestTarget target, long nowMs) {
    DecayingSum dispatched = byTarget.get(target);
    if (dispatched == null) {
      return 0;
    }
    dispatched.decay(nowMs);
    double age = nowMs - dispatched.firstMs;
    double windowMs = HALF_LIFE_MS / Math.log(2) * (1 - Math.pow(0.5, age / HALF_LIFE_MS));
    return windowMs < MS_PER_SECOND ? 0 : dispatched.sum / windowMs * MS_PER_SECOND;
  }
}
