// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each promise that the ledger checks is seen when it is broken, and only then. */
class LedgerTest {
  private static final long REVOKE_MS = 5_000;

  private final Ledger ledger = new Ledger(REVOKE_MS);

  @BeforeEach
  void send() {
    ledger.sent("once", new Ledger.Sent("/once/1", false, "k", "whole", 1_000));
    ledger.sent("look", new Ledger.Sent("/look/1", true, "k", "whole", 1_000));
  }

  private void broken(String what) {
    List<String> verdict = ledger.verdict();
    assertEquals(1, verdict.size(), verdict.toString());
    assertTrue(verdict.get(0).contains(what), verdict.get(0));
  }

  private void ran(String id, String path) {
    ledger.ran(id, path, SoakSite.WORKSPACE);
  }

  @Test
  void wholeAnswersAndRepeatsOfWhatMayBeRepeatedAreFine() {
    ran("once", "/once/1");
    ran("look", "/look/1");
    ran("look", "/look/1");
    ledger.answered("once", 200, "once", "seal", "whole");
    ledger.answered("look", 503, null, null, "");
    ledger.failed();
    assertEquals(List.of(), ledger.verdict());
    assertEquals(1, ledger.served());
  }

  @Test
  void aSecondRun() {
    ran("once", "/once/1");
    ran("once", "/once/1");
    broken("ran 2 times");
  }

  @Test
  void aRunAfterARefusal() {
    ledger.answered("once", 503, null, null, "");
    assertEquals(List.of(), ledger.verdict());
    ran("once", "/once/1");
    broken("though it was refused with 503");
  }

  @Test
  void aRunThatNobodySent() {
    ran("other", "/once/1");
    broken("which nobody sent");
  }

  @Test
  void aRunForAnotherWorkspace() {
    ledger.ran("once", "/once/1", "lab");
    broken("of lab");
  }

  @Test
  void aChangedPath() {
    ran("once", "/once/2");
    broken("ran as /once/2");
  }

  @Test
  void aSuccessThatIsNotWhole() {
    ledger.answered("look", 200, "look", "seal", "who");
    broken("was answered");
  }

  @Test
  void aSuccessWithoutASeal() {
    ledger.answered("look", 200, "look", null, "whole");
    broken("was answered");
  }

  @Test
  void theAnswerOfAnother() {
    ledger.answered("look", 200, "once", "seal", "whole");
    broken("was answered for once");
  }

  @Test
  void aDenialThoughTheKeyHolds() {
    ledger.answered("look", 401, null, null, "");
    broken("was denied with 401");
  }

  @Test
  void aRunLongAfterItsKeyWasRevoked() {
    ledger.revoked("k", 0);
    ran("once", "/once/1");
    assertEquals(List.of(), ledger.verdict());
    ledger.sent("late", new Ledger.Sent("/look/9", true, "k", "whole", REVOKE_MS + 1));
    ran("late", "/look/9");
    broken("after its key was revoked");
  }
}
