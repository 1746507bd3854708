// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.once;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;
import org.fawndrum.state.HostIdentity;

/** One host's asking of all others about one key. Confined to one thread. */
final class ClaimRound {
  private final Set<HostIdentity> open;
  private final Set<ClaimAnswer> answers = EnumSet.noneOf(ClaimAnswer.class);

  /** How a round stands. */
  enum Verdict {
    /** Answers are missing. */
    OPEN,
    /** Nobody ran the call and nobody will: it may run here. */
    GRANTED,
    /** The call ran. */
    RAN,
    /** Somebody may have run it, or is about to. */
    HELD
  }

  ClaimRound(Set<HostIdentity> asked) {
    open = new HashSet<>(asked);
  }

  void answered(HostIdentity from, ClaimAnswer answer) {
    if (open.remove(from)) {
      answers.add(answer);
    }
  }

  Verdict verdict() {
    if (answers.contains(ClaimAnswer.RAN)) {
      return Verdict.RAN;
    }
    if (answers.contains(ClaimAnswer.HELD)) {
      return Verdict.HELD;
    }
    return open.isEmpty() ? Verdict.GRANTED : Verdict.OPEN;
  }
}
