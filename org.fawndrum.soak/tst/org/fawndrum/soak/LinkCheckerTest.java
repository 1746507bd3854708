// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The checker finds hosts without links that serve their callers worse than others. */
class LinkCheckerTest {
  private final LinkChecker checker = new LinkChecker();
  private int requests;

  /** Records requests to a host, some of which are served. */
  private void requests(String host, int sent, int served, long nowMs) {
    for (int i = 0; i < sent; i++) {
      String id = "s-" + ++requests;
      checker.recordSent(id, host, nowMs);
      if (i < served) {
        checker.recordServed(id);
      }
    }
  }

  @Test
  void hostsThatServeLessThanTwoThirdsAsOftenAreFound() {
    checker.recordLinks("host-0", true, 0);
    requests("host-1", 100, 90, 3_000);
    requests("host-0", 100, 59, 3_000);
    assertEquals(1, checker.violations().size());
  }

  @Test
  void twoThirdsOfTheOthersIsAllowed() {
    checker.recordLinks("host-0", true, 0);
    requests("host-1", 100, 90, 3_000);
    requests("host-0", 100, 60, 3_000);
    assertEquals(0, checker.violations().size());
  }

  @Test
  void aFewFailuresAreAllowed() {
    checker.recordLinks("host-0", true, 0);
    requests("host-1", 100, 100, 3_000);
    requests("host-0", 11, 0, 2_999);
    requests("host-0", 10, 0, 3_000);
    assertEquals(0, checker.violations().size());
    requests("host-0", 1, 0, 3_000);
    assertEquals(1, checker.violations().size());
  }

  /** In seed 90302, a host without links was being stopped, and refused 105 requests. */
  @Test
  void hostsThatGotASignalLatelyDoNotCount() {
    checker.recordLinks("host-0", true, 0);
    checker.recordSignal("host-0", 1_000);
    requests("host-1", 100, 100, 9_999);
    requests("host-0", 100, 0, 9_999);
    assertEquals(0, checker.violations().size());
    requests("host-0", 100, 0, 10_000);
    assertEquals(1, checker.violations().size());
  }

  /** In seed 90200, all hosts had lost their links for three seconds, and nobody could help. */
  @Test
  void hostsCountOnlyWhileAnotherOneHasLinks() {
    requests("host-1", 100, 100, 0);
    checker.recordLinks("host-0", true, 0);
    checker.recordLinks("host-1", true, 0);
    requests("host-0", 100, 0, 3_000);
    assertEquals(0, checker.violations().size());
    checker.recordLinks("host-1", false, 4_000);
    requests("host-1", 100, 100, 4_000);
    requests("host-0", 100, 0, 4_000);
    assertEquals(1, checker.violations().size());
  }
}
