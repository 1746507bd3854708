import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client with one kept connection. */
final class Client implements AutoCloseable {
  private final Socket socket = new Socket();
  private final InputStream in;

  /**
   * Connects.
   *
   * @param receiveBytes size of its receive buffer; 0 for the usual one
   */
  Client(String ip, int port, int receiveBytes) throws IOException {
    socket.setTcpNoDelay(true);
    if (receiveBytes > 0) {
      socket.setReceiveBufferSize(receiveBytes);
    }
    socket.connect(new InetSocketAddress(ip, port), 1_000);
    in = new BufferedInputStream(socket.getInputStream(), 1_024);
  }

  /** Sends a request. */
  void send(String request) throws IOException {
    socket.getOutputStream().write(Http.bytes(request));
    socket.getOutputStream().flush();
  }

  /** Sends a request and reads the whole answer. */
  Http.Message call(String request, int timeoutMs) throws IOException {
    socket.setSoTimeout(timeoutMs);
    send(request);
    Http.Message answer = Http.read(in);
    if (answer == null) {
      throw new IOException("closed without an answer");
    }
    return answer;
  }

  /** Returns what arrives. */
  InputStream in() {
    return in;
  }

  void timeout(int ms) throws IOException {
    socket.setSoTimeout(ms);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
