// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * Identifies one incarnation of a process. No state survives a restart, so a restarted process has
 * another identity.
 *
 * @param host the host's name, unique in the system
 * @param incarnation start time in milliseconds, which rises with each start on the host
 */
public record HostIdentity(String host, long incarnation) {
  /** Parses {@code host#incarnation}; returns null if the text is malformed. */
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

  // Explicit, because the generated ones build their code at run time, at each start of a daemon.
  @Override
  public boolean equals(Object object) {
    return object instanceof HostIdentity other
        && incarnation == other.incarnation
        && host.equals(other.host);
  }

  @Override
  public int hashCode() {
    return 31 * host.hashCode() + Long.hashCode(incarnation);
  }

  @Override
  public String toString() {
    return host + "#" + incarnation;
  }
}
