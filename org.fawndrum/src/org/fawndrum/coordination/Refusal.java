// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Optional;
import org.fawndrum.state.CellKey;

/**
 * The final answer to a request that got no whole answer.
 *
 * @param kind why
 * @param ran whether the request ran
 * @param retryAfterMs when sending again makes sense, in milliseconds from now; -1 when it does not
 * @param cell the cell of the table that decided, if one did
 */
public record Refusal(RefusalKind kind, Ran ran, long retryAfterMs, Optional<CellKey> cell) {
  /** The value of {@link #retryAfterMs()} when sending again makes no sense. */
  public static final long NEVER = -1;

  /** Makes a refusal that no cell decided. */
  public static Refusal of(RefusalKind kind, Ran ran, long retryAfterMs) {
    return new Refusal(kind, ran, retryAfterMs, Optional.empty());
  }

  /** Makes a refusal of a request that surely did not run and should not be sent again. */
  public static Refusal notRun(RefusalKind kind) {
    return of(kind, Ran.NO, NEVER);
  }

  /** Returns the same refusal with another statement of whether the request ran. */
  public Refusal with(Ran other) {
    return new Refusal(kind, other, retryAfterMs, cell);
  }
}
