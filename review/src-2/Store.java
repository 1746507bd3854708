import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/** Stand-in for the platform's store: keyed topics with one partition. */
final class Store implements AutoCloseable {
  private record Item(String key, byte[] value) {}

  private final Site site;
  private final List<ServerSocket> servers = new ArrayList<>();
  private final String address;
  private final Map<String, List<Item>> topics = new HashMap<>();

  Store(Site site) throws IOException {
    this.site = site;
    this.address = view(value -> value);
  }

  /** Returns its address as IP:PORT. */
  String address() {
    return address;
  }

  /**
   * Returns another address of the store. Who reads there gets changed values: so a daemon reaches a
   * runner over a way of its own, which can be cut for it alone.
   */
  String view(UnaryOperator<String> change) throws IOException {
    ServerSocket server = Site.listen(site.newIp());
    servers.add(server);
    site.run("store", () -> accept(server, change));
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  /** Appends a record; an empty value drops the key. */
  synchronized void put(String topic, String key, String value) {
    topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(new Item(key, Http.bytes(value)));
    notifyAll();
  }

  private void accept(ServerSocket server, UnaryOperator<String> change) throws IOException {
    while (!server.isClosed()) {
      Socket socket = server.accept();
      site.run("store", () -> serve(socket, change));
    }
  }

  private void serve(Socket socket, UnaryOperator<String> change) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
        answer(call, socket.getOutputStream(), change);
      }
    } catch (IOException | InterruptedException e) {
      // A daemon closed its connection.
    }
  }

  private void answer(Http.Message call, OutputStream out, UnaryOperator<String> change)
      throws IOException, InterruptedException {
    Map<String, String> query = new HashMap<>();
    String target = call.target();
    for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
      query.put(pair.split("=", 2)[0], pair.contains("=") ? pair.split("=", 2)[1] : "");
    }
    if (target.startsWith("/-/log-newest")) {
      send(out, 200, "application/json", newest(query.get("topic"), change));
    } else if (target.startsWith("/-/log-read")) {
      long waitMs = Long.parseLong(query.getOrDefault("WaitMs", "0"));
      byte[] page = read(query.get("topic"), Integer.parseInt(query.get("From")), waitMs, change);
      send(out, page == null ? 410 : 200, "application/octet-stream", page);
    } else {
      send(out, 404, "application/json", Http.bytes("{}"));
    }
  }

  private static void send(OutputStream out, int status, String type, byte[] body)
      throws IOException {
    byte[] sent = body == null ? Http.bytes("{\"first\":0}") : body;
    ByteArrayOutputStream answer = new ByteArrayOutputStream();
    answer.write(
        Http.bytes(
            "HTTP/1.1 "
                + status
                + " -\r\nContent-Type: "
                + type
                + "\r\nContent-Length: "
                + sent.length
                + "\r\n\r\n"));
    answer.write(sent);
    out.write(answer.toByteArray());
    out.flush();
  }

  private static byte[] changed(Item item, UnaryOperator<String> change) {
    return Http.bytes(change.apply(new String(item.value(), StandardCharsets.UTF_8)));
  }

  private synchronized byte[] newest(String topic, UnaryOperator<String> change) {
    List<Item> items = topics.getOrDefault(topic, List.of());
    Map<String, String> byKey = new LinkedHashMap<>();
    for (int i = 0; i < items.size(); i++) {
      Item item = items.get(i);
      byKey.remove(item.key());
      if (item.value().length > 0) {
        String value = Base64.getEncoder().encodeToString(changed(item, change));
        byKey.put(
            item.key(),
            String.format("{\"TlsKey\":\"%s\",\"Value\":\"%s\",\"offset\":%d}", item.key(), value, i));
      }
    }
    String list = String.join(",", byKey.values());
    return Http.bytes("{\"Items\":[" + list + "],\"more\":false,\"end\":" + items.size() + "}");
  }

  private synchronized byte[] read(
      String topic, int from, long waitMs, UnaryOperator<String> change)
      throws IOException, InterruptedException {
    long untilMs = site.ms() + waitMs;
    List<Item> items = topics.computeIfAbsent(topic, t -> new ArrayList<>());
    if (from > items.size()) {
      return null;
    }
    while (from == items.size() && site.ms() < untilMs) {
      wait(Math.max(1, untilMs - site.ms()));
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream page = new DataOutputStream(bytes);
    page.writeLong(items.size());
    page.writeLong(0);
    for (Item item : items.subList(from, items.size())) {
      byte[] key = Http.bytes(item.key());
      byte[] value = changed(item, change);
      page.writeInt(1 + key.length + value.length);
      page.writeByte(key.length);
      page.write(key);
      page.write(value);
    }
    return bytes.toByteArray();
  }

  @Override
  public void close() throws IOException {
    for (ServerSocket server : servers) {
      server.close();
    }
  }
}
