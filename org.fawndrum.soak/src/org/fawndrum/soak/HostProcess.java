// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One daemon as a process, started again by order. It signals only the process that it started.
 * Confined to one thread, but for its end for good.
 */
final class HostProcess {
  /** The heap of a daemon; a few dozen fit into half of a machine's memory. */
  private static final String HEAP = "-Xmx64m";

  /** The id of the line that a daemon writes when it begins to start. */
  private static final String STARTING = "FAWN0009";

  private final String name;
  private final Path settings;
  private final Path output;

  /** When this host was told to stop, to be compared with the lines of its log. */
  private final Path signals;

  private volatile Process process;
  private boolean over;
  private boolean endExpected;
  private long outputBefore;

  /** Makes a daemon that has not started, and writes its settings into a folder. */
  HostProcess(String name, Path folder, String settingsText) throws IOException {
    this.name = name;
    this.settings = folder.resolve(name + ".json");
    this.output = folder.resolve(name + ".log");
    this.signals = folder.resolve(name + ".signals");
    Files.writeString(settings, settingsText);
  }

  String name() {
    return name;
  }

  /** Starts a new incarnation; its output goes after that of the ones before. */
  synchronized void start() throws IOException {
    if (over) {
      return;
    }
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            HEAP,
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            // When the Java machine itself stood still, so that it is told from a host without time
            // to run; written by a thread of its own, which nothing waits for.
            "-Xlog:async",
            "-Xlog:safepoint,gc:file=" + output + ".%p.jvm:time,uptimemillis",
            "-cp",
            System.getProperty("java.class.path"),
            "org.fawndrum.platform.PlatformMain");
    builder.environment().put("FAWNDRUM_SETTINGS", settings.toString());
    File log = output.toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    outputBefore = Files.exists(output) ? Files.size(output) : 0;
    process = builder.start();
    endExpected = false;
  }

  /**
   * Tells whether this incarnation has said that it is starting. Before that the Java machine
   * itself starts, and a signal ends it (docs/OPEN-FINDINGS.md).
   */
  boolean begun() throws IOException {
    byte[] all = Files.readAllBytes(output);
    int from = (int) Math.min(outputBefore, all.length);
    String text = new String(all, from, all.length - from, StandardCharsets.UTF_8);
    return text.contains(STARTING);
  }

  /** Tells whether some line of this host's log names a request. */
  boolean logNames(String requestId) {
    try {
      return Files.readString(output).contains('"' + requestId + '"');
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Sends a signal such as {@code STOP}. */
  void signal(String signal) throws IOException, InterruptedException {
    String id = Long.toString(process.pid());
    new ProcessBuilder(List.of("kill", "-" + signal, id)).start().waitFor();
  }

  /** Ends the process at once. */
  void kill() throws InterruptedException {
    endExpected = true;
    process.destroyForcibly();
    process.waitFor();
  }

  /** Ends the process at once, and starts no other from then on. Safe for all threads. */
  synchronized void endForGood() {
    over = true;
    if (process != null) {
      process.destroyForcibly().onExit().join();
    }
  }

  /**
   * Asks the process to stop.
   *
   * @return whether it did so within the time given, in milliseconds; if not, it is killed
   */
  boolean stop(long withinMs) throws InterruptedException, IOException {
    endExpected = true;
    String order = Instant.now() + " order to stop " + process.pid() + System.lineSeparator();
    Files.writeString(signals, order, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    process.destroy();
    boolean stopped = process.waitFor(withinMs, TimeUnit.MILLISECONDS);
    if (!stopped) {
      kill();
    }
    return stopped;
  }

  /** Returns the exit code of a process that ended. */
  int exitCode() {
    return process.exitValue();
  }

  /** Tells whether the process ended though nobody ended it. */
  boolean endedByItself() {
    return !endExpected && !process.isAlive();
  }
}
