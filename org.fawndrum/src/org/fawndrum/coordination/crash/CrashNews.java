// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.List;

/**
 * What one host tells others about endpoints that ended and the requests that they had. Order and
 * repetition change nothing.
 *
 * @param crashes endpoints that ended
 * @param served suspected requests that were answered
 * @param refused requests that are turned away
 * @param turns who sends a suspected request next
 * @param spent how often such a request ran in vain
 * @param hops how often it was told on
 */
public record CrashNews(
    List<EndpointCrash> crashes,
    List<ServedRequest> served,
    List<RefusedRequest> refused,
    List<SuspectTurn> turns,
    List<SpentTurn> spent,
    int hops) {
  /**
   * How often news are told on at most: from a host through the speakers of two zones to the hosts
   * of the other. Each telling shifts their times by their way, so that a host which hears late
   * news of its own may take them for others, and would tell them on for ever.
   */
  public static final int MOST_HOPS = 3;

  /** Tells nothing. */
  public static final CrashNews NONE = new CrashNews(List.of(), List.of(), List.of(), List.of());

  /** Makes news without spent turns. */
  public CrashNews(
      List<EndpointCrash> crashes,
      List<ServedRequest> served,
      List<RefusedRequest> refused,
      List<SuspectTurn> turns) {
    this(crashes, served, refused, turns, List.of(), 0);
  }

  /** Copies the lists, so that the news cannot change. */
  public CrashNews {
    crashes = List.copyOf(crashes);
    served = List.copyOf(served);
    refused = List.copyOf(refused);
    turns = List.copyOf(turns);
    spent = List.copyOf(spent);
  }

  /** Returns news of one crash. */
  static CrashNews of(EndpointCrash crash) {
    return new CrashNews(List.of(crash), List.of(), List.of(), List.of());
  }

  /** Returns news of one request that was served. */
  static CrashNews of(ServedRequest served) {
    return new CrashNews(List.of(), List.of(served), List.of(), List.of());
  }

  /** Returns news of requests that are turned away. */
  public static CrashNews ofRefused(List<RefusedRequest> refused) {
    return new CrashNews(List.of(), List.of(), refused, List.of());
  }

  /** Returns news of one turn. */
  static CrashNews of(SuspectTurn turn) {
    return new CrashNews(List.of(), List.of(), List.of(), List.of(turn));
  }

  /** Returns news of turns that were spent. */
  static CrashNews of(SpentTurn turn) {
    return new CrashNews(List.of(), List.of(), List.of(), List.of(), List.of(turn), 0);
  }

  /** Tells whether there is nothing in it. */
  public boolean isEmpty() {
    return crashes.isEmpty()
        && served.isEmpty()
        && refused.isEmpty()
        && turns.isEmpty()
        && spent.isEmpty();
  }
}
