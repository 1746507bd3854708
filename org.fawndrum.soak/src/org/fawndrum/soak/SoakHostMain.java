// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.Arrays;
import java.util.Map;
import java.util.stream.Collectors;
import org.fawndrum.platform.PlatformMain;
import org.fawndrum.platform.standin.LinkedDecoder;
import org.fawndrum.state.HostAddress;

/**
 * Main class of a daemon whose paths to endpoints can fail: the daemon on the platform, which reads
 * the address of a path in place of that of an endpoint.
 */
final class SoakHostMain {
  /** System property with pairs of addresses: of an endpoint, and of the path to it. */
  static final String LINKS = "fawndrum.soak.links";

  private SoakHostMain() {}

  /** Runs the daemon. */
  public static void main(String[] args) {
    Map<String, String> links =
        Arrays.stream(System.getProperty(LINKS).split(","))
            .map(pair -> pair.split("="))
            .collect(Collectors.toUnmodifiableMap(pair -> pair[0], pair -> pair[1]));
    PlatformMain.run(new LinkedDecoder(address -> linked(links, address)));
  }

  private static HostAddress linked(Map<String, String> links, HostAddress endpoint) {
    String[] parts = links.getOrDefault(endpoint.toString(), endpoint.toString()).split(":");
    return new HostAddress(parts[0], Integer.parseInt(parts[1]));
  }
}
