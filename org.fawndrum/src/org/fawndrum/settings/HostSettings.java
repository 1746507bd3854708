// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

import java.util.List;
import org.fawndrum.state.HostAddress;

/**
 * The validated settings of a daemon. Immutable.
 *
 * @param host the host's name, unique in the system
 * @param zone its availability zone
 * @param callers listen address for callers
 * @param operators listen address for operators and the balancer's probes
 * @param peers listen address for other daemons
 * @param platform address of the platform's log and host list
 * @param seeds peers to query while the platform is unavailable
 * @param callerKeys the API keys of callers
 * @param operatorKeys the API keys of operators
 * @param limits the limits of this daemon
 * @param jsonLog whether log lines are written as JSON
 * @param debugLog whether each decision is logged
 */
public record HostSettings(
    String host,
    String zone,
    ListenSettings callers,
    ListenSettings operators,
    ListenSettings peers,
    HostAddress platform,
    List<HostAddress> seeds,
    List<CallerKey> callerKeys,
    List<OperatorKey> operatorKeys,
    LimitSettings limits,
    boolean jsonLog,
    boolean debugLog) {
  /** Makes defensive copies of the lists. */
  public HostSettings {
    seeds = List.copyOf(seeds);
    callerKeys = List.copyOf(callerKeys);
    operatorKeys = List.copyOf(operatorKeys);
  }
}
