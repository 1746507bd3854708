// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.junit.jupiter.api.Test;

/**
 * The log lines of a process that ends. They are written by a thread of their own, and those that
 * say why the process ended were lost when it had not got to them.
 */
class LogEndTest {
  /** Fewer than the queue holds, and more than a pipe does that nobody reads. */
  private static final int LINES = 3_000;

  private static final int CODE = 1;

  private static final int END_OF_OUTPUT = -1;

  /** Maximum time for a process to end, in seconds; a machine may be busy. */
  private static final long MAX_WAIT_S = 60;

  /** A process that waits for input once its log is written, logs lines, and exits at once. */
  static final class Program {
    private Program() {}

    /** Logs and exits. */
    public static void main(String[] args) throws IOException {
      LogSetup.selectLogManager();
      LogSetup.configureJsonOutput(false);
      HostLog log = new HostLog("org.fawndrum.host");
      log.event(LogEvent.HOST_STARTING, "host-0");
      System.in.read();
      IllegalStateException cause = new IllegalStateException("cannot go on");
      for (int i = 0; i < LINES; i++) {
        log.failure(LogEvent.DUTY_FAILED, cause, "start");
      }
      System.exit(CODE);
    }
  }

  /** Starts the process and lets it go on to its end. */
  private static Process start() throws Exception {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String classes = System.getProperty("java.class.path");
    Process process =
        new ProcessBuilder(java, "-cp", classes, Program.class.getName())
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start();
    assertNotEquals(END_OF_OUTPUT, process.getInputStream().read());
    process.getOutputStream().close();
    return process;
  }

  /** Lines that were queued when the process ended were lost. */
  @Test
  void allLinesAreWrittenBeforeTheEnd() throws Exception {
    Process process = start();
    try (BufferedReader output = process.inputReader()) {
      assertEquals(LINES, output.lines().filter(line -> line.contains("cannot go on")).count());
    }
    assertEquals(CODE, process.waitFor());
  }

  /** A process would never end if it waited for a reader that reads nothing. */
  @Test
  void aReaderThatReadsNothingDoesNotKeepTheProcess() throws Exception {
    Process process = start();
    try {
      assertTrue(process.waitFor(MAX_WAIT_S, TimeUnit.SECONDS));
      assertEquals(CODE, process.exitValue());
    } finally {
      process.destroyForcibly();
    }
  }
}
