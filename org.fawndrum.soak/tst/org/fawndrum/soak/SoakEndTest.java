// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A soak that is terminated by a signal leaves no daemon running. */
class SoakEndTest {
  private static final int HOSTS = 2;
  private static final String STARTED = "FAWN0001";

  /** Maximum number of polls, and the poll interval in milliseconds. */
  private static final int MAX_POLLS = 1_200;

  private static final int POLL_MS = 50;

  @TempDir private Path folder;

  @Test
  void signalTerminatesDaemons() throws Exception {
    Process soak =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                SoakMain.class.getName(),
                "--hosts",
                Integer.toString(HOSTS),
                "--keep",
                folder.toString())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("soak.log").toFile())
            .start();
    List<ProcessHandle> daemons = List.of();
    try {
      for (int i = 0; i < MAX_POLLS && startedCount() < HOSTS; i++) {
        Thread.sleep(POLL_MS);
      }
      daemons = soak.children().toList();
      assertEquals(HOSTS, daemons.size(), "daemons");
      soak.destroy();
      soak.waitFor();
      for (int i = 0; i < MAX_POLLS && anyAlive(daemons); i++) {
        Thread.sleep(POLL_MS);
      }
      assertFalse(anyAlive(daemons), "a daemon is still running");
    } finally {
      soak.destroyForcibly();
      daemons.forEach(ProcessHandle::destroyForcibly);
    }
  }

  private static boolean anyAlive(List<ProcessHandle> daemons) {
    return daemons.stream().anyMatch(ProcessHandle::isAlive);
  }

  private int startedCount() throws IOException {
    int started = 0;
    for (int host = 0; host < HOSTS; host++) {
      Path log = folder.resolve("seed-1").resolve(HostSettings.name(host) + ".log");
      started += Files.exists(log) && Files.readString(log).contains(STARTED) ? 1 : 0;
    }
    return started;
  }
}
