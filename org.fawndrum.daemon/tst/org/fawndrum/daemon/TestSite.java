// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.EngineMessages.Faults;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.LogCodec;
import org.fawndrum.protocol.OperatorMessages.ChangeView;
import org.fawndrum.protocol.OperatorMessages.Publish;
import org.fawndrum.protocol.PlatformLog;
import org.fawndrum.protocol.PlatformMessages;
import org.fawndrum.protocol.PlatformMessages.ListedHost;
import org.fawndrum.settings.CallerKey;
import org.fawndrum.settings.HostSettings;
import org.fawndrum.settings.LimitSettings;
import org.fawndrum.settings.ListenSettings;
import org.fawndrum.settings.OperatorKey;
import org.fawndrum.standin.EngineModel;
import org.fawndrum.standin.EngineStandin;
import org.fawndrum.standin.PlainStandin;
import org.fawndrum.standin.PlatformStandin;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.HostAddress;
import org.fawndrum.transport.EntryHostRuntime;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.HttpPlatform;

/** Test fixture: a platform, endpoints and daemons on the loopback interface in one process. */
final class TestSite implements AutoCloseable {
  static final String IP = "127.0.0.1";
  static final String CHAT_KEY = "key-of-chat";
  static final String ORDER_KEY = "key-of-orders";
  static final String REPEAT_KEY = "key-of-repeatable";
  static final String OPERATOR_KEY = "key-of-operator";
  static final String READER_KEY = "key-of-reader";
  static final CallerGroup CHAT = new CallerGroup("counter", "chat");
  static final CallerGroup ORDERS = new CallerGroup("schools", "orders");
  static final CallerGroup LOOKUPS = new CallerGroup("shops", "lookups");
  private static final int MAX_POLLS = 1_500;
  private static final long POLL_MS = 20;

  final Vertx vertx = Vertx.vertx();
  final HttpClient client = HttpClient.newHttpClient();
  final PlatformStandin platform;
  final List<EntryHostRuntime> hosts = new ArrayList<>();
  private final List<HostAddress> peerAddresses = new ArrayList<>();
  private long nextIncarnation = 1;

  TestSite() {
    platform = new PlatformStandin(vertx, IP, 0, 1_000, 10_000);
    await(platform.listen());
  }

  static <T> T await(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().orTimeout(60, TimeUnit.SECONDS).join();
  }

  /**
   * Polls until a condition is true. Fails after 30 seconds, a bound that is not part of any
   * assertion.
   */
  static void until(String description, BooleanSupplier condition) {
    for (int poll = 0; poll < MAX_POLLS; poll++) {
      if (condition.getAsBoolean()) {
        return;
      }
      java.util.concurrent.locks.LockSupport.parkNanos(POLL_MS * 1_000_000);
    }
    throw new AssertionError("never: " + description);
  }

  int engine(String name, String zone) {
    EngineStandin engine =
        new EngineStandin(vertx, IP, 0, name, 1, new EngineModel.Settings(200_000, 1_024, 2), 20);
    await(engine.listen());
    register(name, zone, "model", engine.port(), List.of("m"), 200_000);
    return engine.port();
  }

  int plain(String name, String zone) {
    PlainStandin plain = new PlainStandin(vertx, IP, 0, name);
    await(plain.listen());
    register(name, zone, "plain", plain.port(), List.of("ordering"), 0);
    return plain.port();
  }

  private void register(
      String name, String zone, String role, int port, List<String> serves, long memory) {
    post(
        platform.port(),
        "/hosts",
        "",
        new ListedHost(name, 1, zone, role, IP, port, serves, memory, false));
  }

  EntryHostRuntime host(String name, String zone) {
    LimitSettings limits = new LimitSettings(1 << 20, 8_192, 150_000, 500, 3_000, 1_024);
    ListenSettings anyPort = new ListenSettings(new HostAddress(IP, 0), Optional.empty());
    HostSettings settings =
        new HostSettings(
            name,
            zone,
            anyPort,
            anyPort,
            anyPort,
            new HostAddress(IP, platform.port()),
            peerAddresses,
            List.of(
                new CallerKey(CHAT_KEY, CHAT),
                new CallerKey(ORDER_KEY, ORDERS),
                new CallerKey(REPEAT_KEY, LOOKUPS)),
            List.of(
                new OperatorKey(OPERATOR_KEY, "ana", true),
                new OperatorKey(READER_KEY, "student", false)),
            limits,
            false,
            false);
    EntryHostRuntime host =
        new EntryHostRuntime(
            vertx, settings, HostClock.system(new HostLog("test")), nextIncarnation++);
    await(host.start());
    hosts.add(host);
    peerAddresses.add(host.peerAddress());
    post(
        platform.port(),
        "/hosts",
        "",
        new ListedHost(name, 0, zone, "entry", IP, host.peerAddress().port(), List.of(), 0, false));
    return host;
  }

  /** Starts two daemons and two engines in two zones, and publishes a table. */
  void startStandardSite() {
    engine("engine-1", "a");
    engine("engine-2", "b");
    EntryHostRuntime first = host("host-a", "a");
    EntryHostRuntime second = host("host-b", "b");
    publishTable(first);
    ready(first);
    ready(second);
  }

  void publishTable(EntryHostRuntime host) {
    List<ChangeView> changes =
        List.of(
            new ChangeView(CHAT.toString(), "share", "1"),
            new ChangeView(ORDERS.toString(), "routes", "/orders=ordering"),
            new ChangeView(LOOKUPS.toString(), "routes", "/lookups=ordering"),
            new ChangeView(LOOKUPS.toString(), "repeatable", "yes"));
    until("table published", () -> publish(host, "table", -1, changes).body().contains("accepted"));
  }

  HttpResponse<String> publish(
      EntryHostRuntime host, String id, long from, List<ChangeView> changes) {
    return post(
        host.operatorPort(), "/table/publish", OPERATOR_KEY, new Publish(id, from, changes));
  }

  void ready(EntryHostRuntime host) {
    until("ready", () -> "ready".equals(host.status().state()));
    until("registered", () -> host.status().claimsRegistered());
  }

  HttpResponse<String> post(int port, String path, String key, Object message) {
    String body = message instanceof String text ? text : Json.write(message);
    return send(
        HttpRequest.newBuilder(URI.create("http://" + IP + ":" + port + path))
            .header("authorization", "Bearer " + key)
            .POST(BodyPublishers.ofString(body)));
  }

  HttpResponse<String> get(int port, String path, String key) {
    return send(
        HttpRequest.newBuilder(URI.create("http://" + IP + ":" + port + path))
            .header("authorization", "Bearer " + key));
  }

  HttpResponse<String> send(HttpRequest.Builder request) {
    try {
      return client.send(request.build(), BodyHandlers.ofString());
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError(e);
    }
  }

  HttpResponse<String> chat(EntryHostRuntime host, String prompt, int tokens) {
    String body =
        "{\"model\":\"m\",\"max_tokens\":"
            + tokens
            + ",\"messages\":[{\"role\":\"user\",\"content\":\""
            + prompt
            + "\"}]}";
    return post(host.callerPort(), "/v1/chat/completions", CHAT_KEY, body);
  }

  HttpResponse<String> order(EntryHostRuntime host, String key, Integer retryCount) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + IP + ":" + host.callerPort() + "/orders/1"))
            .header("authorization", "Bearer " + ORDER_KEY)
            .header("idempotency-key", key)
            .POST(BodyPublishers.ofString("{}"));
    if (retryCount != null) {
      request.header("x-stainless-retry-count", retryCount.toString());
    }
    return send(request);
  }

  int runs(int plainPort, String key) {
    try {
      return Json.read(get(plainPort, "/runs", "").body(), PlainStandin.Runs.class)
          .runs()
          .getOrDefault(key, 0);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** Returns the offset of the newest snapshot in the log, -1 for none. */
  long newestSnapshot() {
    HttpPlatform log = new HttpPlatform(vertx, new HostAddress(IP, platform.port()), 0);
    return log.read(0, 10_000).join().records().stream()
        .filter(entry -> LogCodec.read(entry.offset(), entry.content()).hasSnapshot())
        .mapToLong(PlatformLog.LogRecord::offset)
        .max()
        .orElse(-1);
  }

  void engineFaults(int port, Faults faults) {
    post(port, "/faults", "", faults);
  }

  void platformFaults(PlatformMessages.Faults faults) {
    post(platform.port(), "/faults", "", faults);
  }

  @Override
  public void close() {
    hosts.forEach(host -> await(host.close()));
    await(vertx.close());
  }
}
