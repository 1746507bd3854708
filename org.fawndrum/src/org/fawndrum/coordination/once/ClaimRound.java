// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.once;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;
import org.fawndrum.state.HostIdentity;

/** One round of queries from a host to all others about one key. Confined to one thread. */
final class ClaimRound {
  private final Set<HostIdentity> pendingHosts;
  private final Set<ClaimAnswer> answers = EnumSet.noneOf(ClaimAnswer.class);

  /** The result of a round so far. */
  enum Verdict {
    /** Answers are missing. */
    OPEN,
    /** No host ran the call or will run it: it may run here. */
    GRANTED,
    /** The call ran. */
    RAN,
    /** Another host may have run the call, or is about to. */
    HELD
  }

  ClaimRound(Set<HostIdentity> hosts) {
    pendingHosts = new HashSet<>(hosts);
  }

  void addAnswer(HostIdentity from, ClaimAnswer answer) {
    if (pendingHosts.remove(from)) {
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
    return pendingHosts.isEmpty() ? Verdict.GRANTED : Verdict.OPEN;
  }
}
