// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.backpressure.HoldLimits;
import org.fawndrum.state.HostAddress;

/**
 * The validated settings of a daemon that relays requests.
 *
 * @param host its name
 * @param zone its availability zone
 * @param callers the address for callers
 * @param readiness the address of the load balancer's health check
 * @param peers the address for other daemons
 * @param proxy the address at which it proxies requests for other daemons that have lost their
 *     links to endpoints; empty if it does not
 * @param metrics the address that serves the metrics
 * @param platform the address of the platform's store
 * @param linkMegabits the capacity of the host's network link, in megabits a second
 * @param seeds addresses of hosts that may know other daemons
 * @param bounds the limits that operators guarantee or permit
 * @param hold the limits of what is held in memory for callers and endpoints
 * @param clearedFingerprints fingerprints of requests whose rejection the operators cleared ({@code
 *     letGo} in the file); the metrics server lists the rejected requests
 * @param debugLog whether each decision is logged
 */
public record RelaySettings(
    String host,
    String zone,
    HostAddress callers,
    HostAddress readiness,
    HostAddress peers,
    Optional<HostAddress> proxy,
    HostAddress metrics,
    HostAddress platform,
    double linkMegabits,
    List<HostAddress> seeds,
    RelayBounds bounds,
    HoldLimits hold,
    List<String> clearedFingerprints,
    boolean debugLog) {
  /** Copies the lists, so that the settings are immutable. */
  public RelaySettings {
    seeds = List.copyOf(seeds);
    clearedFingerprints = List.copyOf(clearedFingerprints);
  }

  /** Returns the seeds except this host. */
  public List<HostAddress> otherSeeds() {
    return seeds.stream().filter(seed -> !seed.equals(peers)).toList();
  }
}
