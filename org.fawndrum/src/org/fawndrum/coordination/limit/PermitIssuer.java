// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawndrum.coordination.TokenBucket;
import org.fawndrum.coordination.membership.FleetMember;

/**
 * Issues the permits for the endpoints that are assigned to this host, at the rate that each
 * endpoint named. Hosts whose requests wait come first, by urgency and then in turn; the others get
 * what would be lost otherwise.
 *
 * <p>No more permits are kept than half a second of the rate and one, and none at the beginning, so
 * that any span of {@code t} seconds has at most {@code 1 + rate * (t + 0.5)} of them, whoever
 * issued before. Confined to one thread. Times are those of the host's clock, in milliseconds.
 */
public final class PermitIssuer {
  /**
   * Lowest rate at which permits are issued, a second. An endpoint that accepts nothing gets a
   * request every five seconds all the same: only its answers show that it accepts requests again.
   */
  public static final double MIN_PER_SECOND = 0.2;

  /** Highest rate at which permits are issued, a second; above any endpoint's capacity. */
  private static final double MAX_PER_SECOND = 1e6;

  /** How much of the rate is kept while nobody wants it, in seconds. */
  private static final double BURST_S = 0.5;

  /** How long a demand is kept unless it is renewed, in milliseconds: one renewal and a half. */
  private static final long DEMAND_TTL_MS = 1_500;

  /** Interval at which this host checks whether early demands can be met, in milliseconds. */
  private static final long EARLY_CHECK_MS = 50;

  private static final double MS_PER_SECOND = 1_000;

  private static final Comparator<Waiting> CLASS =
      Comparator.comparing((Waiting waiting) -> !waiting.demand.urgent())
          .thenComparing(waiting -> waiting.demand.urgency());

  private static final Comparator<Waiting> ORDER = CLASS.thenComparing(waiting -> waiting.turn);

  private final Map<String, Line> lines = new HashMap<>();

  /** The latest demands for endpoints for which this host issues no permits, or not yet. */
  private final Map<String, Map<FleetMember, Waiting>> early = new HashMap<>();

  private long lastTurn;
  private long issuedCount;

  /** A grant and the host that it is for. */
  public record Issued(FleetMember to, PermitGrant grant) {}

  /** The demand of one host for one endpoint. */
  private static final class Waiting {
    PermitDemand demand;
    long receivedMs;
    int missing;
    long turn;
  }

  /** The permits for one endpoint, and the hosts that want them. */
  private static final class Line {
    final TokenBucket bucket;
    final Map<FleetMember, Waiting> hosts = new LinkedHashMap<>();
    double perSecond;
    double burst;

    Line(double perSecond, double maxKept, long nowMs) {
      bucket = TokenBucket.empty(nowMs);
      resize(perSecond, maxKept, nowMs);
    }

    void resize(double newPerSecond, double maxKept, long nowMs) {
      perSecond = newPerSecond;
      burst = 1 + Math.min(maxKept, newPerSecond * BURST_S);
      bucket.resize(perSecond, burst, nowMs);
    }

    boolean mayIssue(Waiting next, long nowMs) {
      return bucket.waitMs(next.demand.urgent() ? 1 : burst, nowMs) == 0;
    }
  }

  /**
   * Sets the rate at which this host issues permits for an endpoint.
   *
   * @param perSecond permits a second; 0 if this host issues none
   * @return whether this host began or ended to issue them
   */
  public boolean setRate(String endpoint, double perSecond, long nowMs) {
    return setRate(endpoint, perSecond, Double.POSITIVE_INFINITY, nowMs);
  }

  /**
   * Sets the rate at which this host issues permits for an endpoint, and how many are kept while
   * nobody wants them. Those that are kept, and those that hosts have and did not use yet, arrive
   * beyond the rate once requests come.
   *
   * @param perSecond permits a second; 0 if this host issues none
   * @param maxKept maximum number of permits kept, beyond the one that is issued next
   * @return whether this host began or ended to issue them
   */
  public boolean setRate(String endpoint, double perSecond, double maxKept, long nowMs) {
    if (perSecond <= 0) {
      return lines.remove(endpoint) != null;
    }
    double bounded = Math.min(perSecond, MAX_PER_SECOND);
    Line line = lines.get(endpoint);
    if (line == null) {
      lines.put(endpoint, newLine(endpoint, bounded, maxKept, nowMs));
      return true;
    }
    line.resize(bounded, maxKept, nowMs);
    return false;
  }

  private Line newLine(String endpoint, double perSecond, double maxKept, long nowMs) {
    Line line = new Line(perSecond, maxKept, nowMs);
    Map<FleetMember, Waiting> waiting = early.remove(endpoint);
    if (waiting != null) {
      line.hosts.putAll(waiting);
    }
    return line;
  }

  /** Returns the endpoints for which this host issues permits. */
  public List<String> endpoints() {
    return List.copyOf(lines.keySet());
  }

  /** Returns the number of permits issued. */
  public long issuedCount() {
    return issuedCount;
  }

  /**
   * Handles a demand; the answer says at once what the host may expect. Hosts learn at different
   * times that an endpoint has a rate: a demand that arrives before this host knows of one gets no
   * permit, but is met if the host issues some soon.
   */
  public List<Issued> demanded(FleetMember from, PermitDemand demand, long nowMs) {
    Line line = lines.get(demand.endpoint());
    Map<FleetMember, Waiting> hosts =
        line == null
            ? early.computeIfAbsent(demand.endpoint(), name -> new LinkedHashMap<>())
            : line.hosts;
    if (demand.permits() <= 0) {
      hosts.remove(from);
      return line == null ? List.of(new Issued(from, PermitGrant.notIssued(demand))) : List.of();
    }
    Waiting waiting = hosts.computeIfAbsent(from, host -> new Waiting());
    if (waiting.demand == null) {
      waiting.turn = ++lastTurn;
    }
    waiting.demand = demand;
    waiting.receivedMs = nowMs;
    waiting.missing = demand.permits();
    if (line == null) {
      return List.of(new Issued(from, PermitGrant.notIssued(demand)));
    }
    List<Issued> issued = issue(demand.endpoint(), line, nowMs);
    if (issued.stream().noneMatch(grant -> grant.to().equals(from))) {
      issued.add(new Issued(from, grant(demand.endpoint(), line, waiting, 0, nowMs)));
    }
    return issued;
  }

  /** Issues the permits that are due. */
  public List<Issued> issueDue(long nowMs) {
    List<Issued> issued = new ArrayList<>();
    lines.forEach((endpoint, line) -> issued.addAll(issue(endpoint, line, nowMs)));
    early.values().forEach(waiting -> removeOld(waiting, nowMs));
    early.values().removeIf(Map::isEmpty);
    return issued;
  }

  /** Returns when the next permit is due; {@link Long#MAX_VALUE} if no host wants one. */
  public long nextDueMs(long nowMs) {
    long dueMs = early.isEmpty() ? Long.MAX_VALUE : nowMs + EARLY_CHECK_MS;
    for (Line line : lines.values()) {
      Waiting next = next(line);
      if (next != null) {
        double level = next.demand.urgent() ? 1 : line.burst;
        dueMs = Math.min(dueMs, nowMs + line.bucket.waitMs(level, nowMs));
      }
    }
    return dueMs;
  }

  private static Waiting next(Line line) {
    return line.hosts.values().stream().min(ORDER).orElse(null);
  }

  private List<Issued> issue(String endpoint, Line line, long nowMs) {
    removeOld(line.hosts, nowMs);
    Map<FleetMember, Waiting> served = new LinkedHashMap<>();
    Map<FleetMember, Integer> counts = new HashMap<>();
    Waiting next = next(line);
    while (next != null && line.mayIssue(next, nowMs) && line.bucket.tryTake(1, nowMs)) {
      FleetMember to = hostOf(line, next);
      served.put(to, next);
      counts.merge(to, 1, Integer::sum);
      issuedCount++;
      next.turn = ++lastTurn;
      next.missing--;
      if (next.missing == 0) {
        line.hosts.remove(to);
      }
      next = next(line);
    }
    List<Issued> issued = new ArrayList<>();
    served.forEach(
        (to, waiting) ->
            issued.add(new Issued(to, grant(endpoint, line, waiting, counts.get(to), nowMs))));
    return issued;
  }

  private static void removeOld(Map<FleetMember, Waiting> hosts, long nowMs) {
    hosts.values().removeIf(waiting -> nowMs - waiting.receivedMs > DEMAND_TTL_MS);
  }

  private static FleetMember hostOf(Line line, Waiting waiting) {
    return line.hosts.entrySet().stream()
        .filter(entry -> entry.getValue() == waiting)
        .map(Map.Entry::getKey)
        .findFirst()
        .orElseThrow();
  }

  private static PermitGrant grant(
      String endpoint, Line line, Waiting waiting, int permits, long nowMs) {
    long before = 0;
    long inTurn = 1;
    for (Waiting other : line.hosts.values()) {
      int rank = other == waiting ? 0 : CLASS.compare(other, waiting);
      if (rank < 0) {
        before += other.missing;
      } else if (rank == 0 && other != waiting) {
        before += other.turn < waiting.turn ? 1 : 0;
        inTurn++;
      }
    }
    long oneMs = (long) Math.ceil(MS_PER_SECOND / line.perSecond);
    return new PermitGrant(
        endpoint,
        waiting.demand.id(),
        permits,
        nowMs - waiting.receivedMs,
        line.bucket.waitMs(1, nowMs) + before * oneMs,
        inTurn * oneMs);
  }
}
