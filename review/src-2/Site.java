import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * One run of a case: its record, its temporary folder, its loopback addresses, and the processes
 * and stand-ins that it started.
 */
final class Site implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter record;
  private final Path folder;
  private final int network = ThreadLocalRandom.current().nextInt(10, 250);
  private final List<AutoCloseable> started = new ArrayList<>();
  private int lastHost;
  private volatile boolean closing;

  /** Creates a run that writes its record to a file. */
  Site(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    folder = Files.createTempDirectory("review-2");
    // Also where this process is stopped from outside.
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
  }

  /** Returns whether the disruption is to take place. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Returns the time since the start of the run, in milliseconds. */
  long ms() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** A case: returns 1 if the rule was broken, 0 if it held, and 2 if that is not known. */
  interface Case {
    int run(Site site) throws Exception;
  }

  /** Runs a case and returns its exit code. */
  static int exitCode(String recordFile, Case reviewed) {
    try (Site site = new Site(Path.of(recordFile))) {
      int code;
      try {
        code = reviewed.run(site);
      } catch (Exception e) {
        site.record("the case could not run: %s", e);
        code = 2;
      }
      site.record("exit code %d", code);
      return code;
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
      return 2;
    }
  }

  /** Returns the bounds of a small deployment, by the names of the pages. */
  static Map<String, Object> bounds() {
    return Map.of(
        "StrictRevocation", true,
        "RevokeMs", 5000,
        "ConfigApplyMs", 2000,
        "DrainTimeoutMs", 2000,
        "GracePeriodS", 8,
        "RetryBudgetRatio", 0.2,
        "BudgetSlack", 100,
        "RetryWindowS", 10,
        "pass_ms", 120);
  }

  /** Writes a line to the record. */
  synchronized void record(String format, Object... values) {
    record.printf("%7d ms  %s%n", ms(), String.format(format, values));
  }

  Path folder() {
    return folder;
  }

  /** Returns a loopback address that nothing in this run uses. */
  synchronized String newIp() {
    lastHost++;
    return "127." + network + "." + ThreadLocalRandom.current().nextInt(1, 250) + "." + lastHost;
  }

  /** Listens at a free port of a loopback address. */
  static ServerSocket listen(String ip) throws IOException {
    ServerSocket server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
    return server;
  }

  /** Returns a port of a loopback address that is free now. */
  static int freePort(String ip) throws IOException {
    try (ServerSocket server = listen(ip)) {
      return server.getLocalPort();
    }
  }

  /** Has something closed at the end of the run. */
  synchronized <T extends AutoCloseable> T closeLater(T closeable) {
    started.add(0, closeable);
    return closeable;
  }

  /** Runs a step on a thread of its own; what fails in it is recorded. */
  Thread run(String name, Step step) {
    Thread thread =
        new Thread(
            () -> {
              try {
                step.run();
              } catch (Exception e) {
                if (!closing) {
                record("%s: %s", name, e);
              }
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** A step of a run. */
  interface Step {
    void run() throws Exception;
  }

  /** Ends what was started; has no effect when called again. */
  private synchronized void endAll() {
    for (AutoCloseable closeable : started) {
      try {
        closeable.close();
      } catch (Exception e) {
        System.err.println("not closed: " + e);
      }
    }
    started.clear();
  }

  @Override
  public void close() throws Exception {
    closing = true;
    endAll();
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
    record.close();
  }
}
