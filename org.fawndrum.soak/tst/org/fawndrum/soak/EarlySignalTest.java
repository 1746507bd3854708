// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A hangup signal doesn't terminate a daemon that is still starting. */
class EarlySignalTest {
  private static final String STARTED = "FAWN0001";

  @TempDir private Path folder;

  @Test
  void reloadDuringStartDoesNotTerminateDaemon() throws Exception {
    String text = Files.readString(Path.of("tst", "early-signal.json"));
    HostProcess host = new HostProcess("host-1", folder, text);
    host.start();
    try {
      while (!host.hasLoggedStart() && !host.exitedUnexpectedly()) {
        Thread.onSpinWait();
      }
      for (int i = 0; i < 20 && !started(); i++) {
        host.signal("HUP");
      }
      while (!started() && !host.exitedUnexpectedly()) {
        Thread.onSpinWait();
      }
      assertTrue(started());
      assertFalse(host.exitedUnexpectedly());
    } finally {
      host.kill();
    }
  }

  private boolean started() throws Exception {
    return Files.readString(folder.resolve("host-1.log")).contains(STARTED);
  }
}
