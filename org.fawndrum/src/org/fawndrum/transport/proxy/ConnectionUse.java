// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

/**
 * Which use of which connection a request is.
 *
 * @param localPort the port of this host's end of the connection; 0 for a request through another
 *     host
 * @param number 1 for the first request on the connection; 0 for a request through another host
 */
public record ConnectionUse(int localPort, int number) {
  /** The use of a request through another host, which is not known here. */
  public static final ConnectionUse UNKNOWN = new ConnectionUse(0, 0);

  /** Returns whether the connection may have carried another request before. */
  public boolean isKept() {
    return number != 1;
  }
}
