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
public record CrashNews(
    List<EndpointCrash> crashes,
    List<ServedRequest> served,
    List<RefusedRequest> refused,
    List<SuspectTurn> turns,
    List<SpentTurn> spent,
    int hops) {
  /**
   * Maximum number of times that an update is forwarded: from a host through the leaders of two
   * zones to the hosts of the other. Each hop shifts its times by the transport delay. A host that
   * receives its own update late may therefore take it for a new one, and without this limit would
   * forward it forever.
   */
  public static final int MOST_HOPS = 3;

  /** The empty update. */
  public static final CrashNews NONE = new CrashNews(List.of(), List.of(), List.of(), List.of());

  /** Creates an update without inconclusive runs. */
  public CrashNews(
      List<EndpointCrash> crashes,
      List<ServedRequest> answeredRequests,
      List<RefusedRequest> rejectedRequests,
      List<SuspectTurn> newLeases) {
    this(crashes, answeredRequests, rejectedRequests, newLeases, List.of(), 0);
  }

  /** Copies the lists to make the update immutable. */
  public CrashNews {
    crashes = List.copyOf(crashes);
    served = List.copyOf(served);
    refused = List.copyOf(refused);
    turns = List.copyOf(turns);
    spent = List.copyOf(spent);
  }

  /** Returns an update with one crash. */
  static CrashNews of(EndpointCrash crash) {
    return new CrashNews(List.of(crash), List.of(), List.of(), List.of());
  }

  /** Returns an update with one answered request. */
  static CrashNews of(ServedRequest request) {
    return new CrashNews(List.of(), List.of(request), List.of(), List.of());
  }

  /** Returns an update with rejected requests. */
  public static CrashNews ofRefused(List<RefusedRequest> requests) {
    return new CrashNews(List.of(), List.of(), requests, List.of());
  }

  /** Returns an update with one execution lease. */
  static CrashNews of(SuspectTurn lease) {
    return new CrashNews(List.of(), List.of(), List.of(), List.of(lease));
  }

  /** Returns an update with the inconclusive runs of one request at one host. */
  static CrashNews of(SpentTurn runs) {
    return new CrashNews(List.of(), List.of(), List.of(), List.of(), List.of(runs), 0);
  }

  /** Returns whether it contains nothing. */
  public boolean isEmpty() {
    return crashes.isEmpty()
        && served.isEmpty()
        && refused.isEmpty()
        && turns.isEmpty()
        && spent.isEmpty();
  }
}
