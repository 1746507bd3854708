// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.fawndrum.platform.PlatformMain;
import org.fawndrum.state.HostAddress;

/**
 * A daemon that runs as a separate process and can be restarted. Signals only the process that it
 * started. Confined to one thread, except {@link #terminate}.
 */
final class HostProcess {
  /** Heap limit of a daemon; a few dozen of them fit into half of a machine's memory. */
  private static final String HEAP = "-Xmx64m";

  /** Options of the JVM of a daemon. */
  static final List<String> OPTIONS =
      List.of(HEAP, "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

  /** Id of the log line that a daemon writes when it starts. */
  private static final String STARTING = "FAWN0009";

  private final String name;
  private final Path settings;
  private final Path output;

  /** File of the times of stop signals and of what followed, to be compared with the log. */
  private final Path signalLog;

  private final Map<HostAddress, HostAddress> links;
  private final List<String> options;

  private volatile Process process;
  private boolean closed;
  private boolean exitExpected;
  private long outputOffset;

  /** Creates a daemon that is not started, and writes its settings into a folder. */
  HostProcess(String name, Path folder, String settingsText) throws IOException {
    this(name, folder, settingsText, Map.of(), OPTIONS);
  }

  /**
   * Creates a daemon that is not started, and writes its settings into a folder.
   *
   * @param links its path to each endpoint; empty if its paths cannot fail
   * @param options options of its JVM
   */
  HostProcess(
      String name,
      Path folder,
      String settingsText,
      Map<HostAddress, HostAddress> links,
      List<String> options)
      throws IOException {
    this.links = Map.copyOf(links);
    this.options = List.copyOf(options);
    this.name = name;
    this.settings = folder.resolve(name + ".json");
    this.output = folder.resolve(name + ".log");
    this.signalLog = folder.resolve(name + ".signals");
    Files.writeString(settings, settingsText);
  }

  String name() {
    return name;
  }

  /** Starts a new incarnation unless terminated; its output is appended to that of earlier ones. */
  synchronized void start() throws IOException {
    if (closed) {
      return;
    }
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().put("FAWNDRUM_SETTINGS", settings.toString());
    File log = output.toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    outputOffset = Files.exists(output) ? Files.size(output) : 0;
    process = builder.start();
    exitExpected = false;
  }

  private List<String> command() {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.addAll(options);
    // Logs pauses of the JVM, to tell them from a host that gets no processor time. Written
    // asynchronously, so that the log itself blocks no thread.
    command.add("-Xlog:async");
    command.add("-Xlog:safepoint,gc:file=" + output + ".%p.jvm:time,uptimemillis");
    command.add("-D" + SoakHostMain.LINKS + "=" + linksText());
    command.add(links.isEmpty() ? PlatformMain.class.getName() : SoakHostMain.class.getName());
    return command;
  }

  private String linksText() {
    return links.entrySet().stream()
        .map(link -> link.getKey() + "=" + link.getValue())
        .collect(Collectors.joining(","));
  }

  /**
   * Whether this incarnation has logged that it is starting. Before that the JVM itself starts, and
   * a signal terminates it (docs/OPEN-FINDINGS.md).
   */
  boolean hasLoggedStart() throws IOException {
    byte[] bytes = Files.readAllBytes(output);
    int from = (int) Math.min(outputOffset, bytes.length);
    String text = new String(bytes, from, bytes.length - from, StandardCharsets.UTF_8);
    return text.contains(STARTING);
  }

  /** Whether this host's log mentions a request. */
  boolean logMentions(String requestId) {
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

  /** Kills the process and waits for its exit. */
  void kill() throws InterruptedException {
    killWithoutWaiting();
    process.waitFor();
  }

  /** Kills the process; returns before it has exited. */
  void killWithoutWaiting() {
    exitExpected = true;
    process.destroyForcibly();
  }

  /** Returns the processor time that this incarnation has used so far; empty if not known. */
  Optional<Duration> processorTime() {
    return process.toHandle().info().totalCpuDuration();
  }

  /** Returns the id of the process of the last incarnation. */
  long id() {
    return process.pid();
  }

  /** Kills the process and prevents further starts. Safe for all threads. */
  synchronized void terminate() {
    closed = true;
    if (process != null) {
      process.destroyForcibly().onExit().join();
    }
  }

  /**
   * Sends the process a termination signal.
   *
   * @param withinMs time to wait for the exit, in milliseconds; after that the process is killed
   * @return whether the process exited in time
   */
  boolean stop(long withinMs) throws InterruptedException, IOException {
    exitExpected = true;
    logSignal("stop signal to");
    process.destroy();
    boolean stopped = process.waitFor(withinMs, TimeUnit.MILLISECONDS);
    logSignal(stopped ? "exit of" : "kill of");
    if (!stopped) {
      kill();
    }
    return stopped;
  }

  private void logSignal(String what) throws IOException {
    String line = Instant.now() + " " + what + " " + process.pid() + System.lineSeparator();
    Files.writeString(signalLog, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }

  /** Returns the exit code of an exited process. */
  int exitCode() {
    return process.exitValue();
  }

  /** Whether the process exited although it was neither killed nor signalled to stop. */
  boolean exitedUnexpectedly() {
    return !exitExpected && !process.isAlive();
  }
}
