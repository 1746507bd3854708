// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * Where a process listens.
 *
 * @param ip the IP number in text form
 * @param port the TCP port
 */
public record HostAddress(String ip, int port) {
  private static final int LARGEST_PORT = 65_535;

  /** Parses {@code IP:PORT}; returns null when the text has another form. */
  public static HostAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return null;
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      boolean fits = port >= 0 && port <= LARGEST_PORT;
      return fits ? new HostAddress(text.substring(0, colon), port) : null;
    } catch (NumberFormatException e) {
      return null;
    }
  }

  @Override
  public String toString() {
    return ip + ":" + port;
  }
}
