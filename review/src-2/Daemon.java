import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A daemon of the project as a separate process, with the command of the deploy file. */
final class Daemon implements AutoCloseable {
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
  private static final Pattern GAP = Pattern.compile("\\{\\{([\\w.]+)(\\|json)?}}");

  private final Site site;
  private final String name;
  private final Path settings;
  private final String ip;
  private final int front;
  private final int ready;
  private Process process;

  /**
   * Creates a daemon that is not started.
   *
   * @param bounds its bounds, by the names of the pages
   * @param ports the first and the last port for what daemons say to each other
   * @param seeds addresses of daemons, as IP:PORT
   */
  Daemon(
      Site site,
      String name,
      String zone,
      String ip,
      int[] ports,
      List<String> seeds,
      String storeAddress,
      Map<String, Object> bounds)
      throws IOException {
    this.site = site;
    this.name = name;
    this.ip = ip;
    this.front = Site.freePort(ip);
    this.ready = Site.freePort(ip);
    Map<String, Object> fields = new java.util.HashMap<>();
    fields.put("NodeName", name);
    fields.put("Zone", zone);
    fields.put("Ip", ip);
    fields.put("BindAddrs.Front", ip + ":" + front);
    fields.put("BindAddrs.Ready", ip + ":" + ready);
    fields.put("InternalPortRange.0", ports[0]);
    fields.put("InternalPortRange.1", ports[1]);
    fields.put("Platform.Address", storeAddress);
    fields.put("Limits.LinkMbps", 1000.0);
    fields.put("Seeds", seeds);
    bounds.forEach((key, value) -> fields.put("Bounds." + key, value));
    String template = Files.readString(Path.of(deployed("template")));
    this.settings = site.folder().resolve(name + ".json");
    Files.writeString(settings, fill(template, fields));
  }

  /** Returns a text of the role in the deploy file. */
  private static String deployed(String key) throws IOException {
    return Files.readAllLines(Path.of("deploy/system.toml")).stream()
        .filter(line -> line.startsWith(key + " = \""))
        .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
        .findFirst()
        .orElseThrow(() -> new IOException("deploy/system.toml has no " + key));
  }

  private static String fill(String template, Map<String, Object> fields) {
    String filled =
        SECTION
            .matcher(template)
            .replaceAll(
                section -> Matcher.quoteReplacement(section(section.group(2), fields.get(section.group(1)))));
    return GAP.matcher(filled)
        .replaceAll(gap -> Matcher.quoteReplacement(String.valueOf(fields.getOrDefault(gap.group(1), ""))));
  }

  private static String section(String text, Object value) {
    List<?> entries = value instanceof List<?> list ? list : value == null ? List.of() : List.of(value);
    List<String> filled = new ArrayList<>();
    for (int i = 0; i < entries.size(); i++) {
      filled.add(
          text.replace("{{.}}", entries.get(i).toString())
              .replace("{{,}}", i < entries.size() - 1 ? "," : ""));
    }
    return String.join("", filled);
  }

  /** Starts the process. */
  Daemon start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(deployed("run").split(" "));
    Map<String, String> variables = builder.environment();
    variables.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    variables.put("FAWNDRUM_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(site.folder().resolve(name + ".log").toFile()));
    process = builder.start();
    site.record("%s starts as process %d", name, process.pid());
    return this;
  }

  /** Kills the process, as a loss of power would. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
    site.record("%s was killed", name);
  }

  /** Stops the process as the platform does. */
  void term() {
    process.destroy();
    site.record("%s gets SIGTERM", name);
  }

  /** Waits for the end of the process; returns whether it ended in time. */
  boolean awaitEnd(long forMs) throws InterruptedException {
    boolean ended = process.waitFor(forMs, TimeUnit.MILLISECONDS);
    site.record("%s %s", name, ended ? "has ended" : "still runs");
    return ended;
  }

  boolean runs() {
    return process != null && process.isAlive();
  }

  /** Waits until the daemon says that it is ready. */
  void awaitReady(long forMs) throws InterruptedException {
    long untilMs = site.ms() + forMs;
    while (site.ms() < untilMs) {
      try (Client client = new Client(ip, ready, 0)) {
        if (client.call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1_000).status() == 200) {
          site.record("%s is ready", name);
          return;
        }
      } catch (IOException e) {
        // It does not listen yet.
      }
      Thread.sleep(50);
    }
    throw new IllegalStateException(name + " is not ready");
  }

  String ip() {
    return ip;
  }

  int front() {
    return front;
  }

  String name() {
    return name;
  }

  /** Returns the lines of its log that contain a text. */
  List<String> log(String text) throws IOException {
    return Files.readAllLines(site.folder().resolve(name + ".log")).stream()
        .filter(line -> line.contains(text))
        .toList();
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly().onExit().orTimeout(5, TimeUnit.SECONDS).join();
    }
  }
}
