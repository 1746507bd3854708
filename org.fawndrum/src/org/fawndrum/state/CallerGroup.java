// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * Key of a table row: the callers of one workspace that share one class of service.
 *
 * @param workspace the workspace, non-empty
 * @param className the class within the workspace, non-empty
 */
public record CallerGroup(String workspace, String className) implements Comparable<CallerGroup> {
  private static final char SEPARATOR = '/';

  /** 2^32 divided by the golden ratio: it spreads neighbouring values over all bits. */
  private static final int GOLDEN_RATIO = 0x9E37_79B9;

  /** Half of the bits of a hash. */
  private static final int HALF = Integer.SIZE / 2;

  /** Parses {@code workspace/class}; returns null if the text is malformed. */
  public static CallerGroup parse(String text) {
    int at = text.indexOf(SEPARATOR);
    if (at <= 0 || at == text.length() - 1 || text.indexOf(SEPARATOR, at + 1) >= 0) {
      return null;
    }
    return new CallerGroup(text.substring(0, at), text.substring(at + 1));
  }

  @Override
  public int compareTo(CallerGroup other) {
    int byWorkspace = workspace.compareTo(other.workspace);
    return byWorkspace != 0 ? byWorkspace : className.compareTo(other.className);
  }

  // Explicit, because the generated ones build their code at run time, at each start of a daemon.
  @Override
  public boolean equals(Object object) {
    return object instanceof CallerGroup other
        && workspace.equals(other.workspace)
        && className.equals(other.className);
  }

  @Override
  public int hashCode() {
    // Names are often numbered. The usual sum has few and neighbouring values for their pairs, and
    // immutable maps search linearly among these.
    int hash = GOLDEN_RATIO * workspace.hashCode() + className.hashCode();
    hash = GOLDEN_RATIO * (hash ^ hash >>> HALF);
    return hash ^ hash >>> HALF;
  }

  @Override
  public String toString() {
    return workspace + SEPARATOR + className;
  }
}
