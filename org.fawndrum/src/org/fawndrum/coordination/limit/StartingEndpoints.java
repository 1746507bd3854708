// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.ServiceProfile;

/**
 * The endpoints that have started lately and, until they have warmed up, accept only the rate that
 * the operators state for their service. Each host derives this itself, from what endpoints report
 * about themselves and from restarts that it learns of.
 *
 * <p>An endpoint reports how long it still starts, not since when. The time therefore runs from
 * when this host learned of the report, which is never too short: what was reported later is valid,
 * whether it is longer or shorter. What this host assumes without a report holds at least for the
 * time that the operators state. Thread-safe. Times are those of the host's clock, in milliseconds.
 */
public final class StartingEndpoints implements EndpointRates {
  /**
   * Added to each reported time, in milliseconds. Reports of one start differ by this much at most
   * because they are read sooner or later; they need not be passed on to other hosts.
   */
  static final long TOLERANCE_MS = 200;

  private static final long NEVER_MS = Long.MIN_VALUE;

  /** Replaced as a whole; usually empty, and each request asks for many endpoints. */
  private volatile Map<String, Start> starts = Map.of();

  private volatile Map<String, ServiceProfile> services = Map.of();
  private volatile boolean servicesKnown;

  /**
   * One endpoint that starts.
   *
   * @param serves the names of its services
   * @param reportedEndMs the end that it reported last
   * @param spreadEndMs the end that hosts believe which hear only of changes
   * @param assumedEndMs the earliest end that this host assumes
   */
  private record Start(
      Set<String> serves, long reportedEndMs, long spreadEndMs, long assumedEndMs) {
    static Start none(Endpoint endpoint) {
      return new Start(endpoint.serves(), NEVER_MS, NEVER_MS, NEVER_MS);
    }

    long endMs() {
      return Math.max(reportedEndMs, assumedEndMs);
    }

    Start reported(long endMs, boolean isChange) {
      return new Start(serves, endMs, isChange ? endMs : spreadEndMs, assumedEndMs);
    }

    Start assumed(long endMs) {
      return new Start(serves, reportedEndMs, spreadEndMs, Math.max(assumedEndMs, endMs));
    }
  }

  /** Replaces the services whose endpoints accept less while they start. */
  public void updateServices(Collection<ServiceProfile> newer) {
    services =
        newer.stream()
            .filter(ServiceProfile::limitsStarts)
            .collect(Collectors.toUnmodifiableMap(ServiceProfile::name, Function.identity()));
    servicesKnown = true;
  }

  /**
   * Applies an entry that an endpoint wrote after the one before it.
   *
   * @param remainingMs how long the endpoint still starts; 0 if it has started
   * @return whether hosts that hear only of changes must hear of this one
   */
  public boolean reported(Endpoint endpoint, long remainingMs, long nowMs) {
    if (remainingMs <= 0) {
      if (starts.containsKey(endpoint.name())) {
        update(endpoint, start -> start.reported(NEVER_MS, true));
      }
      return false;
    }
    long endMs = nowMs + remainingMs + TOLERANCE_MS;
    Start before = starts.get(endpoint.name());
    boolean isChange = before == null || endMs > before.spreadEndMs() + TOLERANCE_MS;
    update(endpoint, start -> start.reported(endMs, isChange));
    return isChange && mayBeLimited(endpoint.serves());
  }

  /** Applies an answer in which an endpoint said how long it still starts. */
  public void answered(Endpoint endpoint, long remainingMs, long nowMs) {
    long startMs = startMs(endpoint.serves());
    // A false answer must not limit an endpoint for longer than a start lasts.
    long boundedMs = startMs > 0 ? Math.min(startMs, remainingMs) : remainingMs;
    long endMs = nowMs + boundedMs + TOLERANCE_MS;
    update(endpoint, start -> start.reported(Math.max(endMs, start.reportedEndMs()), false));
  }

  /** Records that an endpoint was found to have restarted, before it reported so itself. */
  public void restarted(Endpoint endpoint, long nowMs) {
    long startMs = startMs(endpoint.serves());
    if (startMs > 0) {
      update(endpoint, start -> start.assumed(nowMs + startMs));
    }
  }

  /** Records that operators took back the drained zone of endpoints, which may be idle since. */
  public void zoneTakenBack(Collection<Endpoint> endpoints, long nowMs) {
    endpoints.forEach(endpoint -> restarted(endpoint, nowMs));
  }

  private synchronized void update(Endpoint endpoint, UnaryOperator<Start> step) {
    Map<String, Start> updated = new HashMap<>(starts);
    updated.merge(
        endpoint.name(), step.apply(Start.none(endpoint)), (before, same) -> step.apply(before));
    starts = Map.copyOf(updated);
  }

  /** Whether any endpoint starts or has started since the last removal of ended starts. */
  public boolean isAnyKnown() {
    return !starts.isEmpty();
  }

  /** Forgets the endpoints that have started, and returns those that accepted only a rate. */
  public synchronized List<String> takeEnded(long nowMs) {
    Map<String, Start> left = new HashMap<>(starts);
    left.values().removeIf(start -> start.endMs() <= nowMs);
    List<String> ended =
        starts.keySet().stream()
            .filter(endpoint -> !left.containsKey(endpoint))
            .filter(endpoint -> perSecond(starts.get(endpoint).serves()) < UNLIMITED)
            .toList();
    if (left.size() < starts.size()) {
      starts = Map.copyOf(left);
    }
    return ended;
  }

  /** Whether operators state a rate for a service, or no configuration is known yet. */
  private boolean mayBeLimited(Set<String> serves) {
    return !servicesKnown || perSecond(serves) < UNLIMITED;
  }

  private long startMs(Set<String> serves) {
    Map<String, ServiceProfile> known = services;
    return serves.stream()
        .filter(known::containsKey)
        .mapToLong(name -> known.get(name).startMs())
        .max()
        .orElse(0);
  }

  @Override
  public double perSecond(String endpoint, long nowMs) {
    Map<String, Start> known = starts;
    Start start = known.isEmpty() ? null : known.get(endpoint);
    return start == null || nowMs >= start.endMs() ? UNLIMITED : perSecond(start.serves());
  }

  private double perSecond(Set<String> serves) {
    Map<String, ServiceProfile> known = services;
    double lowest = UNLIMITED;
    for (String name : serves) {
      ServiceProfile profile = known.get(name);
      lowest = profile == null ? lowest : Math.min(lowest, profile.startPerSecond());
    }
    return lowest;
  }

  @Override
  public long endMs(String endpoint, long nowMs) {
    Start start = starts.get(endpoint);
    return start == null ? nowMs : Math.max(nowMs, start.endMs());
  }

  @Override
  public List<String> limited(long nowMs) {
    Map<String, Start> known = starts;
    return known.isEmpty()
        ? List.of()
        : known.keySet().stream().filter(endpoint -> isLimited(endpoint, nowMs)).toList();
  }
}
