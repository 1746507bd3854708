// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * One life of a process. Nothing survives a restart, so a restarted process is another identity.
 *
 * @param host the name of the host, unique in the system
 * @param incarnation grows with each start on the host; its start time in milliseconds
 */
public record HostIdentity(String host, long incarnation) {
  /** Parses {@code host#incarnation}; returns null when the text has another form. */
  public static HostIdentity parse(String text) {
    int at = text.lastIndexOf('#');
    if (at <= 0) {
      return null;
    }
    try {
      return new HostIdentity(text.substring(0, at), Long.parseLong(text.substring(at + 1)));
    } catch (NumberFormatException e) {
      return null;
    }
  }

  @Override
  public String toString() {
    return host + "#" + incarnation;
  }
}
