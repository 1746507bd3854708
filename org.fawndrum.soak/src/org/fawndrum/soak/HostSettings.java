// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.Locale;
import java.util.function.IntUnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fawndrum.platform.standin.FixedPorts;
import org.fawndrum.state.HostAddress;

/**
 * Builds the settings files of the daemons of one site. All daemons use the same port for peer
 * connections, so each has its own loopback address for them. Hosts alternate between the zones.
 * Immutable.
 */
final class HostSettings {
  private static final String LOOPBACK = "127.0.0.1";

  /** Maximum number of hosts listed as seeds. */
  private static final int SEEDS = 2;

  /** Link capacity of the first host, in megabits per second; it grows by one with each host. */
  private static final int FIRST_LINK_MEGABITS = 100;

  private static final int MS_PER_SECOND = 1_000;

  /** The most bytes that a host may hold for its callers and endpoints. */
  static final long MAX_HELD_BYTES = 2 << 20;

  /** Number of availability zones, unless given. */
  private static final int ZONES = 2;

  private final FixedPorts ports;
  private final int zones;
  private final IntUnaryOperator linkMegabits;
  private final String seeds;
  private final int peerPort;
  private final int proxyPort;

  /** Creates the settings of a number of hosts. */
  HostSettings(int hosts, FixedPorts ports) {
    this(hosts, ZONES, host -> FIRST_LINK_MEGABITS + host, ports);
  }

  /**
   * Creates the settings of a number of hosts.
   *
   * @param linkMegabits the link capacity of a host by its index, in megabits per second
   */
  HostSettings(int hosts, int zones, IntUnaryOperator linkMegabits, FixedPorts ports) {
    this.ports = ports;
    this.zones = zones;
    this.linkMegabits = linkMegabits;
    this.peerPort = ports.next();
    this.proxyPort = ports.next();
    this.seeds =
        IntStream.range(0, Math.min(SEEDS, hosts))
            .mapToObj(host -> "\"" + peerIp(host) + ":1\"")
            .collect(Collectors.joining(","));
  }

  /** Returns the text of a host's settings; readiness and metrics get free addresses. */
  String text(int host, HostAddress callers, HostAddress platform) {
    return text(host, callers, freeAddress(), platform);
  }

  /**
   * Returns the text of a host's settings; readiness gets a free address.
   *
   * @param host the host's index, from 0
   * @param callers the address for callers
   * @param metrics the address of its metrics
   * @param platform the address of the store
   */
  String text(int host, HostAddress callers, HostAddress metrics, HostAddress platform) {
    return text(host, callers, freeAddress(), metrics, platform);
  }

  /**
   * Returns the text of a host's settings.
   *
   * @param host the host's index, from 0
   * @param callers the address for callers
   * @param readiness the address of its health check
   * @param metrics the address of its metrics
   * @param platform the address of the store
   */
  String text(
      int host,
      HostAddress callers,
      HostAddress readiness,
      HostAddress metrics,
      HostAddress platform) {
    return String.format(
        Locale.ROOT,
        """
        { "host": "%s", "zone": "zone-%s", "callers": "%s", "readiness": "%s",
          "peers": "%s:%d", "proxy": "%s:%d", "metrics": "%s", "platform": "%s", "linkMegabits": %d,
          "seeds": [%s],
          "bounds": { "keysNeedProof": true, "revokeMs": %d, "drainMs": 2000, "graceS": %d, "retryRatio": 0.2,
            "retrySlack": 100, "retryWindowS": 10, "streamPassMs": 120 },
          "hold": { "totalBytes": %d, "answerBytes": 65536 } }
        """,
        name(host),
        (char) ('a' + zone(host)),
        callers,
        readiness,
        peerIp(host),
        peerPort,
        peerIp(host),
        proxyPort,
        metrics,
        platform,
        linkMegabits.applyAsInt(host),
        seeds,
        SoakSite.REVOKE_MS,
        SoakSite.GRACE_MS / MS_PER_SECOND,
        MAX_HELD_BYTES);
  }

  /** Returns the zone of a host, from 0. */
  int zone(int host) {
    return host % zones;
  }

  /** Returns the name of a host. */
  static String name(int host) {
    return "host-" + host;
  }

  /** Returns a free loopback address. */
  HostAddress freeAddress() {
    return new HostAddress(LOOPBACK, ports.next());
  }

  private static String peerIp(int host) {
    return "127.0.1." + (host + 1);
  }
}
