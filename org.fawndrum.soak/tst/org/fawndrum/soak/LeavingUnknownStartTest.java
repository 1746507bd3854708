// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * Engines start again while the store is silent, and then say in their answers that they leave; the
 * store tells these starts later.
 *
 * <p>Seen: a request reached an engine 2.4 s after it had said that it leaves. What it said was
 * filed under the start that was known, and did not hold for the one that had said it.
 */
class LeavingUnknownStartTest {
  private static final int HOSTS = 3;
  private static final int ENGINES = 5;
  private static final long LENGTH_MS = 9_000;

  /** When the store falls silent, and for how long, in milliseconds. */
  private static final long SILENT_MS = 500;

  private static final long SILENT_FOR_MS = 5_000;

  /** When the engines start again, and the time between two of them, in milliseconds. */
  private static final long RESTART_MS = 1_500;

  private static final long RESTART_GAP_MS = 100;

  /** When two of them begin to say that they leave, and for how long, in milliseconds. */
  private static final long LEAVING_MS = 3_000;

  private static final long LEAVING_FOR_MS = 4_000;

  /** The line of a start that is asked before it is used. */
  private static final String START_UNCLEAR = "FAWN0074";

  @TempDir(factory = KeptFolders.class, cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  private static Fault fault(long atMs, long forMs, Fault.Kind kind, int target) {
    return new Fault(atMs, forMs, kind, target, FaultProxy.Mode.PASS);
  }

  private static List<Fault> plan() {
    List<Fault> plan = new ArrayList<>();
    plan.add(fault(SILENT_MS, SILENT_FOR_MS, Fault.Kind.STORE_SILENT, 0));
    // One that reads a long prompt starts again in place of the one that is meant.
    for (int i = 0; i < 2 * ENGINES; i++) {
      long atMs = RESTART_MS + i * RESTART_GAP_MS;
      plan.add(fault(atMs, 0, Fault.Kind.ENGINE_RESTARTS, i % ENGINES));
    }
    for (int i = 0; i < 2; i++) {
      plan.add(fault(LEAVING_MS, LEAVING_FOR_MS, Fault.Kind.SAYS_LEAVING, i));
    }
    return plan;
  }

  private boolean wasMet() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.filter(one -> one.toString().endsWith(".log")).toList()) {
        if (Files.readString(file).contains(START_UNCLEAR)) {
          return true;
        }
      }
      return false;
    }
  }

  @Test
  void aStartThatSaidItLeavesBeforeItWasKnownGetsNothingMore() throws Exception {
    Soak.Order order = new Soak.Order(1, HOSTS, LENGTH_MS, Set.of(), folder);
    Soak.Result result = new Soak(order, plan()).call();
    String where = ", settings and logs of the daemons in " + folder;
    assertEquals(List.of(), result.broken(), result.summary() + where);
    assertTrue(wasMet(), "no start became known later" + where);
  }
}
