import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The way to a daemon's port for other daemons, which may be cut: while it is, connections are
 * accepted and nothing passes. They are reset when the cut begins and when it heals. It may also refuse.
 */
final class Relay implements AutoCloseable {
  private final Site site;
  private volatile ServerSocket server;
  private final String toIp;
  private final int toPort;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;

  /** Listens at a port of an address and passes all on to the same port of another address. */
  Relay(Site site, String ip, int port, String toIp) throws IOException {
    this(site, ip, port, toIp, port);
  }

  /** Listens at a port of an address, any free one if it is 0, and passes all on to another one. */
  Relay(Site site, String ip, int port, String toIp, int toPort) throws IOException {
    this.site = site;
    this.toIp = toIp;
    this.toPort = toPort;
    listen(InetAddress.getByName(ip), port);
  }

  private void listen(InetAddress ip, int port) throws IOException {
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(new InetSocketAddress(ip, port), 64);
    server = opened;
    site.run("relay", () -> accept(opened));
  }

  /** Returns where it listens, as IP:PORT. */
  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  /** Refuses all connections and resets those that are open, or heals that. */
  void refuse(boolean nowRefused) throws IOException {
    if (nowRefused) {
      server.close();
      open.forEach(Relay::reset);
      open.clear();
    } else {
      listen(server.getInetAddress(), server.getLocalPort());
    }
  }

  /** Cuts the way, or heals it. */
  void cut(boolean nowCut) {
    cut = nowCut;
    open.forEach(Relay::reset);
    open.clear();
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed.
    }
  }

  private void accept(ServerSocket opened) {
    while (!opened.isClosed()) {
      Socket from;
      try {
        from = opened.accept();
      } catch (IOException e) {
        // It was closed.
        return;
      }
      open.add(from);
      if (!cut) {
        site.run("relay", () -> connect(from));
      }
    }
  }

  private void connect(Socket from) throws IOException {
    Socket to = new Socket(toIp, toPort);
    open.add(to);
    site.run("relay", () -> pass(from, to));
    pass(to, from);
  }

  private static void pass(Socket from, Socket to) {
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      in.transferTo(out);
    } catch (IOException e) {
      // One side closed.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    open.forEach(Relay::reset);
  }
}
