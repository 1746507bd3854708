// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * IP address and port on which a process listens.
 *
 * @param ip the IP address in text form
 * @param port the TCP port
 */
public record HostAddress(String ip, int port) {
  private static final int MAX_PORT = 65_535;

  /** Parses {@code IP:PORT}; returns null if the text is malformed. */
  public static HostAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return null;
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      boolean valid = port >= 0 && port <= MAX_PORT;
      return valid ? new HostAddress(text.substring(0, colon), port) : null;
    } catch (NumberFormatException e) {
      return null;
    }
  }

  // Explicit, because the generated ones build their code at run time, at each start of a daemon.
  @Override
  public boolean equals(Object object) {
    return object instanceof HostAddress other && port == other.port && ip.equals(other.ip);
  }

  @Override
  public int hashCode() {
    return 31 * ip.hashCode() + port;
  }

  @Override
  public String toString() {
    return ip + ":" + port;
  }
}
