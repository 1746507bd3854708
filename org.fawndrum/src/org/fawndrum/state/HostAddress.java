// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * Where a process listens.
 *
 * @param ip the IP number in text form
 * @param port the TCP port
 */
public record HostAddress(String ip, int port) {
  @Override
  public String toString() {
    return ip + ":" + port;
  }
}
