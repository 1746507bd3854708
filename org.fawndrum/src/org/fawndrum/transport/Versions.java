// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

/** Version of the running program. */
public final class Versions {
  private static final String UNPACKED = "unpacked";

  private Versions() {}

  /**
   * Returns the version in the manifest of the jar, or {@code unpacked} when not run from a jar.
   */
  public static String current() {
    String version = Versions.class.getPackage().getImplementationVersion();
    return version == null ? UNPACKED : version;
  }
}
