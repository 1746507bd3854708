// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.List;

/**
 * An update from one host to others about crashed endpoints and the requests that they had. Merging
 * updates is idempotent and independent of their order.
 *
 * @param crashes crashed endpoints
 * @param answered suspected requests that were answered
 * @param rejected rejected requests
 * @param leases the hosts that send a suspected request next
 * @param inconclusiveRuns how often suspected requests ran without an answer or a proven crash
 * @param hops how often it was forwarded
 */
public record CrashUpdate(
    List<EndpointCrash> crashes,
    List<AnsweredRequest> answered,
    List<RejectedRequest> rejected,
    List<ExecutionLease> leases,
    List<InconclusiveRuns> inconclusiveRuns,
    int hops) {
  /**
   * Maximum number of times that an update is forwarded: from a host through the leaders of two
   * zones to the hosts of the other. Each hop shifts its times by the transport delay. A host that
   * receives its own update late may therefore take it for a new one, and without this limit would
   * forward it forever.
   */
  public static final int MAX_HOPS = 3;

  /** The empty update. */
  public static final CrashUpdate NONE =
      new CrashUpdate(List.of(), List.of(), List.of(), List.of());

  /** Creates an update without inconclusive runs. */
  public CrashUpdate(
      List<EndpointCrash> crashes,
      List<AnsweredRequest> answeredRequests,
      List<RejectedRequest> rejectedRequests,
      List<ExecutionLease> newLeases) {
    this(crashes, answeredRequests, rejectedRequests, newLeases, List.of(), 0);
  }

  /** Copies the lists to make the update immutable. */
  public CrashUpdate {
    crashes = List.copyOf(crashes);
    answered = List.copyOf(answered);
    rejected = List.copyOf(rejected);
    leases = List.copyOf(leases);
    inconclusiveRuns = List.copyOf(inconclusiveRuns);
  }

  /** Returns an update with one crash. */
  static CrashUpdate of(EndpointCrash crash) {
    return new CrashUpdate(List.of(crash), List.of(), List.of(), List.of());
  }

  /** Returns an update with one answered request. */
  static CrashUpdate of(AnsweredRequest request) {
    return new CrashUpdate(List.of(), List.of(request), List.of(), List.of());
  }

  /** Returns an update with answered requests, or parts of them. */
  static CrashUpdate ofAnswered(List<AnsweredRequest> answered) {
    return new CrashUpdate(List.of(), answered, List.of(), List.of());
  }

  /** Returns an update with rejected requests. */
  public static CrashUpdate ofRejected(List<RejectedRequest> requests) {
    return new CrashUpdate(List.of(), List.of(), requests, List.of());
  }

  /** Returns an update with one execution lease. */
  static CrashUpdate of(ExecutionLease lease) {
    return new CrashUpdate(List.of(), List.of(), List.of(), List.of(lease));
  }

  /** Returns an update with the inconclusive runs of one request at one host. */
  static CrashUpdate of(InconclusiveRuns runs) {
    return new CrashUpdate(List.of(), List.of(), List.of(), List.of(), List.of(runs), 0);
  }

  /** Returns whether it contains nothing. */
  public boolean isEmpty() {
    return crashes.isEmpty()
        && answered.isEmpty()
        && rejected.isEmpty()
        && leases.isEmpty()
        && inconclusiveRuns.isEmpty();
  }
}
