// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Optional;
import org.fawndrum.state.CellKey;

/**
 * The final answer to a request that got no whole answer.
 *
 * @param kind the kind
 * @param ran whether the request ran
 * @param retryAfterMs the delay after which a retry makes sense, in milliseconds; {@link #NEVER} if
 *     it does not
 * @param cell the table cell that decided, if any
 */
public record Refusal(RefusalKind kind, Ran ran, long retryAfterMs, Optional<CellKey> cell) {
  /** Value of {@link #retryAfterMs()} if a retry makes no sense. */
  public static final long NEVER = -1;

  /** Creates a refusal without a table cell. */
  public static Refusal of(RefusalKind kind, Ran ran, long retryAfterMs) {
    return new Refusal(kind, ran, retryAfterMs, Optional.empty());
  }

  /** Creates a refusal of a request that did not run and should not be sent again. */
  public static Refusal notRun(RefusalKind kind) {
    return of(kind, Ran.NO, NEVER);
  }

  /** Returns this refusal with another value for whether the request ran. */
  public Refusal withRan(Ran other) {
    return new Refusal(kind, other, retryAfterMs, cell);
  }
}
