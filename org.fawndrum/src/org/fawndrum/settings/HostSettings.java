// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

import java.util.List;
import org.fawndrum.state.HostAddress;

/**
 * The checked settings of a daemon.
 *
 * @param host the host's name, unique in the system
 * @param zone its availability zone
 * @param callers where callers come in
 * @param operators where operators and the balancer's probes come in
 * @param peers where other daemons come in
 * @param platform where the platform's log and host list are
 * @param seeds peers to ask when the platform does not answer
 * @param callerKeys the callers' keys
 * @param operatorKeys the operators' keys
 * @param limits this daemon's own limits
 * @param jsonLog whether log lines are JSON
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
  /** Copies the lists, so that the settings cannot change. */
  public HostSettings {
    seeds = List.copyOf(seeds);
    callerKeys = List.copyOf(callerKeys);
    operatorKeys = List.copyOf(operatorKeys);
  }
}
