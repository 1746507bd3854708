// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

/** The version of the running program. */
public final class Versions {
  private static final String UNPACKED = "unpacked";

  private Versions() {}

  /** Returns the version in the jar's manifest, or {@code unpacked} when run from classes. */
  public static String own() {
    String version = Versions.class.getPackage().getImplementationVersion();
    return version == null ? UNPACKED : version;
  }
}
