// SPDX-License-Identifier: Apache-2.0
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;

/**
 * Stand-in for the platform's store, as PROTOCOL.md describes its keyed topics with one partition.
 * Each daemon has an address of its own for it, so that the store can turn away single daemons.
 */
final class Store {
  static final String OP = "keyed.op";
  static final String SERVERS = "keyed.servers";

  private static final double ANSWER_MS = 4;
  private static final double READ_BYTES_PER_MS = 80_000;
  private static final double APPEND_BYTES_PER_MS = 20_000;
  private static final int PAGE_KB = 1_024;

  /** How the store treats the daemon of one address. */
  enum Mode {
    SERVING,
    /** 503 to each call: nothing was done. */
    BUSY,
    /** No answer at all, as behind a cut. */
    SILENT
  }

  private static final class Item {
    final String key;
    final byte[] value;

    Item(String key, byte[] value) {
      this.key = key;
      this.value = value;
    }
  }

  private final Map<String, List<Item>> topics = new HashMap<>();
  private final Map<String, Mode> modes = new HashMap<>();
  private final ExecutorService threads;
  private final RunRecord record;

  Store(ExecutorService threads, RunRecord record) {
    this.threads = threads;
    this.record = record;
  }

  /** Opens an address for one daemon. */
  void listen(String ip, int port, String daemon) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 64);
    server.setExecutor(threads);
    server.createContext("/", exchange -> handle(daemon, exchange));
    server.start();
    mode(daemon, Mode.SERVING);
  }

  synchronized void mode(String daemon, Mode mode) {
    modes.put(daemon, mode);
    notifyAll();
  }

  private synchronized Mode modeOf(String daemon) {
    return modes.get(daemon);
  }

  /** Appends a record; returns when it is acknowledged. An empty value drops the key. */
  void append(String topic, String key, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    pause(ANSWER_MS + bytes.length / APPEND_BYTES_PER_MS);
    synchronized (this) {
      topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(new Item(key, bytes));
      notifyAll();
    }
  }

  private static void pause(double ms) {
    try {
      Thread.sleep((long) ms, (int) ((ms - (long) ms) * 1e6));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void handle(String daemon, HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    if (turnedAway(daemon, exchange)) {
      return;
    }
    String path = exchange.getRequestURI().getPath();
    byte[] body;
    if (path.equals("/-/log-read")) {
      body = read(daemon, query);
      if (turnedAway(daemon, exchange)) {
        return;
      }
    } else if (path.equals("/-/log-newest")) {
      body = newest(query.get("topic"));
    } else {
      exchange.sendResponseHeaders(404, -1);
      exchange.close();
      return;
    }
    pause(ANSWER_MS + body.length / READ_BYTES_PER_MS);
    exchange.sendResponseHeaders(200, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  /** Answers a call of a daemon that is turned away; returns false if it is served. */
  private boolean turnedAway(String daemon, HttpExchange exchange) throws IOException {
    Mode mode = modeOf(daemon);
    if (mode == Mode.BUSY) {
      exchange.sendResponseHeaders(503, -1);
      exchange.close();
    }
    // A silent call keeps its connection, which says nothing further.
    return mode != Mode.SERVING;
  }

  private synchronized byte[] read(String daemon, Map<String, String> query) throws IOException {
    String topic = query.get("topic");
    int from = Integer.parseInt(query.get("From"));
    long untilNanos =
        System.nanoTime() + 1_000_000L * Long.parseLong(query.getOrDefault("WaitMs", "0"));
    List<Item> items = topics.computeIfAbsent(topic, t -> new ArrayList<>());
    while (items.size() <= from && modes.get(daemon) == Mode.SERVING) {
      long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
      if (leftMs <= 0) {
        break;
      }
      try {
        wait(leftMs);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
    int maxBytes = 1024 * Integer.parseInt(query.getOrDefault("max_kb", "" + PAGE_KB));
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream page = new DataOutputStream(bytes);
    page.writeLong(items.size());
    page.writeLong(0);
    int next = from;
    while (next < items.size()) {
      Item item = items.get(next);
      byte[] key = item.key.getBytes(StandardCharsets.UTF_8);
      int length = 1 + key.length + item.value.length;
      if (next > from && bytes.size() + 4 + length > maxBytes) {
        break;
      }
      page.writeInt(length);
      page.writeByte(key.length);
      page.write(key);
      page.write(item.value);
      next++;
    }
    if (topic.equals(OP) && next > from) {
      record.line(
          "store: %s reads %s from %d: records to %d, end %d, %d bytes",
          daemon, topic, from, next - 1, items.size(), bytes.size());
    }
    return bytes.toByteArray();
  }

  private synchronized byte[] newest(String topic) {
    List<Item> items = topics.getOrDefault(topic, List.of());
    Map<String, String> byKey = new LinkedHashMap<>();
    for (int i = 0; i < items.size(); i++) {
      Item item = items.get(i);
      byKey.remove(item.key);
      if (item.value.length > 0) {
        String value = Base64.getEncoder().encodeToString(item.value);
        byKey.put(
            item.key,
            "{\"TlsKey\":\"" + item.key + "\",\"Value\":\"" + value + "\",\"offset\":" + i + "}");
      }
    }
    String text =
        "{\"Items\":["
            + String.join(",", byKey.values())
            + "],\"more\":false,\"end\":"
            + items.size()
            + "}";
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }
}
