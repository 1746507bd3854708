// SPDX-License-Identifier: Apache-2.0
import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the daemons as processes of their own, with the command and the
 * settings template of the deploy file, in front of stand-ins for the store and the runners. Every
 * machine has a loopback address of its own, as all daemons share the same ports.
 */
final class Site implements AutoCloseable {
  static final String HOST = "desk.example";
  private static final int HEARTBEAT_MS = 1_200;

  final RunRecord record;
  final ExecutorService threads = Executors.newCachedThreadPool(Site::daemonThread);
  final Store store;
  private final Path root;
  private final Path folder;
  private final String net;
  private final int base;
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<Runner> runners = new CopyOnWriteArrayList<>();
  private final List<UnframedRunner.Handle> unframedRunners = new CopyOnWriteArrayList<>();
  private int nextIp = 1;
  private volatile boolean closed;

  /** A daemon of the system. */
  final class Daemon {
    final String name;
    final String zone;
    final String ip;
    final Path log;
    Process process;

    Daemon(String name, String zone) {
      this.name = name;
      this.zone = zone;
      this.ip = net + nextIp++;
      this.log = folder.resolve(name + ".log");
    }

    int front() {
      return base;
    }

    private String ready() {
      return ip + ":" + (base + 1);
    }

    boolean isReady() {
      try {
        HttpURLConnection c =
            (HttpURLConnection) new URL("http://" + ready() + "/-/ready").openConnection();
        c.setConnectTimeout(500);
        c.setReadTimeout(500);
        return c.getResponseCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws Exception {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      record.say("SIG%s to daemon %s", signal, name);
    }
  }

  Site(Path root, Path recordFile) throws IOException {
    this.root = root;
    this.record = new RunRecord(recordFile);
    this.folder = Files.createTempDirectory("fawndrum-review");
    this.store = new Store(threads, record);
    Random random = new Random();
    String foundNet = null;
    int foundBase = 0;
    while (foundNet == null) {
      String candidate = "127." + (64 + random.nextInt(128)) + "." + random.nextInt(256) + ".";
      int port = 20_000 + 16 * random.nextInt(700);
      if (isFree(candidate + 1, port) && isFree(candidate + 1, 9464)) {
        foundNet = candidate;
        foundBase = port;
      }
    }
    net = foundNet;
    base = foundBase;
    Runtime.getRuntime().addShutdownHook(new Thread(this::endDaemons));
  }

  private static Thread daemonThread(Runnable step) {
    Thread thread = new Thread(step);
    thread.setDaemon(true);
    return thread;
  }

  private static boolean isFree(String ip, int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  Daemon daemon(String name, String zone) {
    Daemon daemon = new Daemon(name, zone);
    daemons.add(daemon);
    return daemon;
  }

  /** Starts a runner, which keeps itself in the store. */
  Runner runner(String id, String service, String zone, Consumer<Runner.Run> onRun)
      throws IOException {
    Runner runner = new Runner(id, service, zone, net + nextIp++, base, threads, record, onRun);
    runners.add(runner);
    store.append(Store.SERVERS, id, runner.entry());
    return runner;
  }

  /** Starts a runner as a process of its own, which answers without a length. */
  UnframedRunner.Handle unframedRunner(String id, String service, String zone) throws IOException {
    UnframedRunner.Handle runner =
        new UnframedRunner.Handle(id, service, zone, net + nextIp++, base, threads, record);
    unframedRunners.add(runner);
    store.append(Store.SERVERS, id, runner.entry());
    return runner;
  }

  /** Starts all daemons and waits until they are ready; returns false if one is not in time. */
  boolean start() throws Exception {
    threads.execute(this::heartbeats);
    List<String> command = List.of(command().split(" "));
    int storePort = base + 8;
    for (Daemon daemon : daemons) {
      String storeIp = net + nextIp++;
      store.listen(storeIp, storePort, daemon.name);
      Path settings = folder.resolve(daemon.name + ".json");
      Files.writeString(settings, settings(daemon, storeIp + ":" + storePort));
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.directory(root.toFile());
      Map<String, String> all = System.getenv();
      builder.environment().clear();
      for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
        if (all.containsKey(name)) {
          builder.environment().put(name, all.get(name));
        }
      }
      builder.environment().put("FAWNDRUM_SETTINGS", settings.toString());
      builder.redirectErrorStream(true).redirectOutput(daemon.log.toFile());
      daemon.process = builder.start();
      record.say("daemon %s in %s at %s started", daemon.name, daemon.zone, daemon.ip);
    }
    long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!daemons.stream().allMatch(Daemon::isReady)) {
      if (System.nanoTime() > untilNanos) {
        return false;
      }
      Thread.sleep(100);
    }
    record.say("all daemons are ready");
    return true;
  }

  private void heartbeats() {
    try {
      while (!closed) {
        runners.forEach(runner -> store.append(Store.SERVERS, runner.id, runner.entry()));
        // A runner that was killed writes no more heartbeats.
        unframedRunners.stream()
            .filter(UnframedRunner.Handle::isAlive)
            .forEach(runner -> store.append(Store.SERVERS, runner.id, runner.entry()));
        Thread.sleep(HEARTBEAT_MS);
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private String command() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no command in the deploy file");
    }
    return run.group(1);
  }

  private String settings(Daemon daemon, String storeAddress) throws IOException {
    StringBuilder seeds = new StringBuilder();
    for (Daemon seed : daemons) {
      seeds.append(seeds.length() == 0 ? "" : ",").append('"' + seed.ip + ":" + (base + 2) + '"');
    }
    String text = Files.readString(root.resolve("deploy/settings.json"));
    text = text.replaceAll("\\{\\{#Seeds}}.*?\\{\\{/Seeds}}", seeds.toString());
    Map<String, String> values =
        Map.ofEntries(
            Map.entry("NodeName", daemon.name),
            Map.entry("Zone", daemon.zone),
            Map.entry("BindAddrs.Front", daemon.ip + ":" + daemon.front()),
            Map.entry("BindAddrs.Ready", daemon.ready()),
            Map.entry("Ip", daemon.ip),
            Map.entry("InternalPortRange.0", Integer.toString(base + 3)),
            Map.entry("InternalPortRange.1", Integer.toString(base + 4)),
            Map.entry("Platform.Address", storeAddress),
            Map.entry("Limits.LinkMbps", "1000.0"),
            Map.entry("Bounds.StrictRevocation|json", "true"),
            Map.entry("Bounds.RevokeMs", "5000"),
            Map.entry("Bounds.DrainTimeoutMs", "2000"),
            Map.entry("Bounds.GracePeriodS", "8"),
            Map.entry("Bounds.RetryBudgetRatio", "0.2"),
            Map.entry("Bounds.BudgetSlack", "100"),
            Map.entry("Bounds.RetryWindowS", "10"),
            Map.entry("Bounds.pass_ms", "120"));
    for (Map.Entry<String, String> value : values.entrySet()) {
      text = text.replace("{{" + value.getKey() + "}}", value.getValue());
    }
    if (text.contains("{{")) {
      throw new IOException("the settings template has gaps that are not known here");
    }
    return text;
  }

  /** Appends the lines of a daemon's log that contain a text to the record. */
  void copyLog(Daemon daemon, String... texts) throws IOException {
    for (String line : Files.readAllLines(daemon.log)) {
      for (String text : texts) {
        if (line.contains(text)) {
          record.line("log of %s: %s", daemon.name, line);
        }
      }
    }
  }

  private void endDaemons() {
    for (Daemon daemon : daemons) {
      if (daemon.process != null) {
        daemon.process.destroyForcibly();
      }
    }
    unframedRunners.forEach(UnframedRunner.Handle::kill);
  }

  @Override
  public void close() throws IOException {
    closed = true;
    endDaemons();
    for (Daemon daemon : daemons) {
      if (daemon.process != null) {
        daemon.process.onExit().join();
      }
    }
    File[] files = folder.toFile().listFiles();
    for (File file : files == null ? new File[0] : files) {
      file.delete();
    }
    Files.delete(folder);
    record.close();
  }

  /**
   * Returns a configuration.
   *
   * @param routes more routes, as JSON objects
   * @param tenants the tenants, as JSON objects
   */
  static String configuration(long version, List<String> routes, List<String> tenants) {
    return "{\"Version\":"
        + version
        + ",\"Routes\":["
        + String.join(",", routes)
        + "],\"Services\":["
        + "{\"Name\":\"narocila\",\"HealthPath\":\"/health\",\"MaxConnections\":96},"
        + "{\"Name\":\"zaloga\",\"HealthPath\":\"/health\",\"MaxConnections\":96}],"
        + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
        + "\"IdleTimeoutMs\":15000},\"Tenants\":["
        + String.join(",", tenants)
        + "]}";
  }

  static String route(String name, String prefix, String service) {
    return "{\"Name\":\""
        + name
        + "\",\"Host\":\""
        + HOST
        + "\",\"PathPrefix\":\""
        + prefix
        + "\",\"Kind\":\"safe\",\"TimeoutMs\":2000,\"TargetLatencyMs\":300,\"Priority\":2,"
        + "\"Service\":\""
        + service
        + "\",\"MaxAttempts\":2,\"Public\":false,\"StickySessions\":false,\"StreamResume\":false}";
  }

  static String tenant(String name, String... keys) {
    return "{\"Name\":\""
        + name
        + "\",\"ApiKeys\":["
        + (keys.length == 0 ? "" : "\"" + String.join("\",\"", keys) + "\"")
        + "]}";
  }
}
