import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
  private Http() {}

  /** A message: its first line, its headers by name (any case), and its body. */
  record Message(String line, Map<String, String> headers, byte[] body) {
    String method() {
      return line.split(" ")[0];
    }

    String target() {
      return line.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(line.split(" ")[1]);
    }

    String header(String name) {
      return headers.get(name);
    }
  }

  /** Reads a message; returns null if the stream ends before it begins. */
  static Message read(InputStream in) throws IOException {
    Message head = head(in);
    return head == null ? null : new Message(head.line(), head.headers(), body(in, head));
  }

  /** Reads the first line and the headers of a message, and leaves its body unread. */
  static Message head(InputStream in) throws IOException {
    String line = line(in, true);
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String header = line(in, false); !header.isEmpty(); header = line(in, false)) {
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon).trim(), header.substring(colon + 1).trim());
    }
    return new Message(line, headers, new byte[0]);
  }

  /** Reads the body that follows a head. */
  static byte[] body(InputStream in, Message head) throws IOException {
    if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      int size;
      do {
        size = Integer.parseInt(line(in, false).trim(), 16);
        body.write(exactly(in, size));
        line(in, false);
      } while (size > 0);
      return body.toByteArray();
    }
    String length = head.header("Content-Length");
    return length == null ? new byte[0] : exactly(in, Integer.parseInt(length));
  }

  private static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("ended after " + bytes.length + " of " + size + " bytes");
    }
    return bytes;
  }

  private static String line(InputStream in, boolean mayEnd) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        if (mayEnd && line.length() == 0) {
          return null;
        }
        throw new EOFException("ended within a line");
      }
      if (b != '\r') {
        line.append((char) b);
      }
    }
    return line.toString();
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
