// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;

/**
 * The prefill of a prompt: the engines that take part, and the expected and actual time to the
 * first token.
 *
 * @param engines the names of all participating engines; the one that generates the answer first
 * @param expectedMs the expected time from sending to the first token, in milliseconds
 * @param tookMs the actual time, in milliseconds; {@link #PENDING} before the first token
 */
public record Prefill(List<String> engines, long expectedMs, long tookMs) {
  /** Value of {@link #tookMs()} before the first token has arrived. */
  public static final long PENDING = -1;

  /** Copies the list to keep the record immutable. */
  public Prefill {
    engines = List.copyOf(engines);
  }

  /** Returns this record with the actual time to the first token. */
  Prefill withFirstToken(long afterMs) {
    return new Prefill(engines, expectedMs, afterMs);
  }

  /** Returns the delay of the first token against the expected time; negative if it was early. */
  public long delayMs() {
    return tookMs - expectedMs;
  }
}
