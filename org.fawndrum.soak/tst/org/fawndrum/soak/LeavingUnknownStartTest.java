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
 * Engines restart while the store is unresponsive and then signal in their answers that they are
 * shutting down; hosts read the new incarnations from the store only later.
 *
 * <p>Guards against draining notices being recorded for the known incarnation instead of the one
 * that sent them. With that defect, a request reached an engine 2.4 s after its draining notice.
 */
class LeavingUnknownStartTest {
  private static final int HOSTS = 3;
  private static final int ENGINES = 5;
  private static final long LENGTH_MS = 9_000;

  /** When the store becomes unresponsive, and for how long, in milliseconds. */
  private static final long UNRESPONSIVE_MS = 500;

  private static final long UNRESPONSIVE_FOR_MS = 5_000;

  /** When the engines restart, and the interval between two restarts, in milliseconds. */
  private static final long RESTART_MS = 1_500;

  private static final long RESTART_GAP_MS = 100;

  /** When two of them start to send draining notices, and for how long, in milliseconds. */
  private static final long DRAINING_MS = 3_000;

  private static final long DRAINING_FOR_MS = 4_000;

  /** Id of the log line about an incarnation that is verified before it is used. */
  private static final String INCARNATION_UNCERTAIN = "FAWN0074";

  @TempDir(factory = KeptFolders.class, cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  private static Fault fault(long atMs, long durationMs, Fault.Kind kind, int target) {
    return new Fault(atMs, durationMs, kind, target, FaultProxy.Mode.PASS);
  }

  private static List<Fault> plan() {
    List<Fault> plan = new ArrayList<>();
    plan.add(fault(UNRESPONSIVE_MS, UNRESPONSIVE_FOR_MS, Fault.Kind.STORE_UNRESPONSIVE, 0));
    // An engine that prefills a long prompt restarts instead of the target, hence two rounds.
    for (int i = 0; i < 2 * ENGINES; i++) {
      long atMs = RESTART_MS + i * RESTART_GAP_MS;
      plan.add(fault(atMs, 0, Fault.Kind.ENGINE_RESTARTS, i % ENGINES));
    }
    for (int i = 0; i < 2; i++) {
      plan.add(fault(DRAINING_MS, DRAINING_FOR_MS, Fault.Kind.DRAINING_NOTICE, i));
    }
    return plan;
  }

  private boolean wasVerified() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".log")).toList()) {
        if (Files.readString(file).contains(INCARNATION_UNCERTAIN)) {
          return true;
        }
      }
      return false;
    }
  }

  @Test
  void drainingNoticeHoldsForUnknownIncarnation() throws Exception {
    Soak.Config config = new Soak.Config(1, HOSTS, LENGTH_MS, Set.of(), folder);
    Soak.Result result = new Soak(config, plan()).run();
    String where = ", settings and logs of the daemons in " + folder;
    assertEquals(List.of(), result.violations(), result.summary() + where);
    assertTrue(wasVerified(), "no incarnation was verified" + where);
  }
}
