// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures how fast waiting work of each target is sent to endpoints, so that an honest time to
 * come back can be told. Confined to one thread.
 */
final class DrainRate {
  private static final double HALF_LIFE_MS = 5_000;
  private static final double MS_PER_SECOND = 1000.0;

  private final Map<RequestTarget, Fading> byTarget = new HashMap<>();

  /** A sum that fades with time. */
  private static final class Fading {
    double sum;
    long lastMs;
    long firstMs;

    void fade(long nowMs) {
      if (nowMs > lastMs) {
        sum *= Math.pow(0.5, (nowMs - lastMs) / HALF_LIFE_MS);
        lastMs = nowMs;
      }
    }
  }

  void sent(RequestTarget target, long tokens, long nowMs) {
    Fading fading = byTarget.get(target);
    if (fading == null) {
      fading = new Fading();
      fading.firstMs = nowMs;
      fading.lastMs = nowMs;
      byTarget.put(target, fading);
    }
    fading.fade(nowMs);
    fading.sum += tokens;
  }

  /** Returns tokens a second, or 0 when too little is known. */
  double tokensPerSecond(RequestTarget target, long nowMs) {
    Fading fading = byTarget.get(target);
    if (fading == null) {
      return 0;
    }
    fading.fade(nowMs);
    double age = nowMs - fading.firstMs;
    double windowMs = HALF_LIFE_MS / Math.log(2) * (1 - Math.pow(0.5, age / HALF_LIFE_MS));
    return windowMs < MS_PER_SECOND ? 0 : fading.sum / windowMs * MS_PER_SECOND;
  }
}
