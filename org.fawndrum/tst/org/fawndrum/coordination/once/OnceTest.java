// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.once;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.once.ClaimCoordinator.ClaimAction;
import org.fawndrum.coordination.once.ClaimCoordinator.Sending;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** Requests that must not be repeated run at most once, and the outcome "not run" is true. */
class OnceTest {
  private static final ClaimKey KEY = new ClaimKey(new CallerGroup("w", "c"), "k");
  private static final HostIdentity SELF = new HostIdentity("a", 1);
  private static final HostIdentity OTHER = new HostIdentity("b", 1);
  private static final HostAddress ADDRESS = new HostAddress("127.0.0.1", 1);

  @Property(tries = 3_000, seed = "4711")
  void runsAtMostOnceInAnyHistory(@ForAll long history) {
    OnceHistory played = new OnceHistory(history);
    played.play(250);
    assertEquals(List.of(), played.faults);
    played.runs.forEach((key, runs) -> assertTrue(runs <= 1, key + " ran " + runs + " times"));
  }

  private static ClaimCoordinator registered() {
    ClaimCoordinator claims = new ClaimCoordinator(SELF);
    claims.members().register(SELF, ADDRESS, 0);
    claims.members().register(OTHER, ADDRESS, 0);
    return claims;
  }

  @Test
  void firstSendingRunsAtOnce() {
    List<ClaimAction> actions = registered().arrive("r", KEY, Sending.FIRST, 1);
    assertEquals(List.of(new ClaimAction.Run("r")), actions);
  }

  @Test
  void failedClaimMustBeRepeatedBeforeTheCallRuns() {
    ClaimCoordinator claims = registered();
    claims.arrive("r1", KEY, Sending.REPEAT, 1);
    claims.logReplayed("r1", 2);
    claims.receiveAnswer(OTHER, KEY, ClaimAnswer.HELD, 3);
    List<ClaimAction> actions = claims.arrive("r2", KEY, Sending.REPEAT, 4);
    assertEquals(List.of(new ClaimAction.ReadLogToEnd("r2")), actions);
  }

  @Test
  void lostHostMakesProofImpossibleUntilKeysExpire() {
    ClaimCoordinator claims = registered();
    claims.members().markLost(OTHER, 10);
    assertTrue(claims.members().isProofImpossible(11));
    assertTrue(!claims.members().isProofImpossible(11 + CallRegistry.RETENTION_MS));
  }

  @Test
  void unregisteredHostReportsNotRunOnlyForAFirstSending() {
    ClaimCoordinator claims = new ClaimCoordinator(SELF);
    assertEquals(Ran.NO, ranOf(claims.arrive("r1", KEY, Sending.FIRST, 1)));
    assertEquals(Ran.UNKNOWN, ranOf(claims.arrive("r2", KEY, Sending.REPEAT, 1)));
  }

  private static Ran ranOf(List<ClaimAction> actions) {
    return ((ClaimAction.Refuse) actions.get(0)).refusal().ran();
  }
}
