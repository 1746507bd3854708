// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.link;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The state of this host's own links to endpoints. A link is lost if this host cannot connect to
 * the endpoint and another host can, or if this host reaches no endpoint at all: an endpoint that
 * only one host fails to reach has not failed. Requests to endpoints with a lost link go through
 * other hosts until this host can connect again. Thread-safe; does not read a clock. Times are
 * those of the host's clock, in milliseconds.
 */
public final class EndpointLinks {
  /**
   * Time since the last data of an endpoint up to which its link is taken to be intact. Streams
   * bring an event every 100 ms or so.
   */
  private static final long HEARD_MS = 300;

  /** Interval at which the link to one silent endpoint is checked. */
  private static final long SILENCE_CHECK_INTERVAL_MS = 1_000;

  /** How long other hosts are not asked for an endpoint after they failed to reach it. */
  private static final long UNREACHED_MS = 1_000;

  /** Minimum interval between two checks of all links. */
  private static final long SWEEP_INTERVAL_MS = 500;

  /** Minimum interval between two checks of one lost link. */
  private static final long RECHECK_INTERVAL_MS = 500;

  /** Time after which a check has ended. */
  private static final long CHECK_MS = 200;

  /** Maximum number of lost links that are checked at a time; all are once one is intact again. */
  private static final int MAX_RECHECKS = 8;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final Map<String, Link> links = new HashMap<>();
  private long lastSweepMs = NEVER_MS;
  private long lastHeardMs = NEVER_MS;

  /** The link to one endpoint. */
  private static final class Link {
    boolean lost;
    boolean unreached;
    int losses;
    long lostSinceMs;
    long heardMs = NEVER_MS;
    long checkedMs = NEVER_MS;
    long unreachedMs = NEVER_MS;
  }

  private Link link(String endpoint) {
    return links.computeIfAbsent(endpoint, name -> new Link());
  }

  /** Forgets endpoints that are not listed, and knows all that are. */
  public synchronized void retain(Set<String> listed) {
    links.keySet().retainAll(listed);
    listed.forEach(this::link);
  }

  /** Returns whether the link to an endpoint is lost. */
  public synchronized boolean isLost(String endpoint) {
    Link link = links.get(endpoint);
    return link != null && link.lost;
  }

  /** Returns whether data arrived from any endpoint just now. */
  public synchronized boolean hears(long nowMs) {
    return nowMs - lastHeardMs < HEARD_MS;
  }

  /** Returns the number of endpoints that this host failed to connect to since their last data. */
  public synchronized int unreachedCount() {
    return (int) links.values().stream().filter(link -> link.unreached).count();
  }

  /** Returns the number of lost links. */
  public synchronized int lostCount() {
    return (int) links.values().stream().filter(link -> link.lost).count();
  }

  /**
   * Returns how often the link to an endpoint was lost. Connections that were opened before the
   * last loss may hang.
   */
  public synchronized int losses(String endpoint) {
    Link link = links.get(endpoint);
    return link == null ? 0 : link.losses;
  }

  /** Records that data arrived over this host's own link. */
  public synchronized void heard(String endpoint, long nowMs) {
    Link link = link(endpoint);
    link.heardMs = nowMs;
    link.unreached = false;
    lastHeardMs = nowMs;
  }

  /** Records that this host connected to an endpoint. Returns how long its link had been lost. */
  public synchronized OptionalLong connected(String endpoint, long nowMs) {
    heard(endpoint, nowMs);
    Link link = link(endpoint);
    if (!link.lost) {
      return OptionalLong.empty();
    }
    link.lost = false;
    return OptionalLong.of(nowMs - link.lostSinceMs);
  }

  /** Records that this host failed to connect to an endpoint. */
  public synchronized void connectFailed(String endpoint) {
    link(endpoint).unreached = true;
  }

  /** Returns whether this host failed to connect to an endpoint since its last data. */
  public synchronized boolean isUnreached(String endpoint) {
    Link link = links.get(endpoint);
    return link != null && link.unreached;
  }

  /** Records the loss of a link. Returns whether it was not known to be lost. */
  public synchronized boolean lost(String endpoint, long nowMs) {
    Link link = link(endpoint);
    if (link.lost) {
      return false;
    }
    link.lost = true;
    link.losses++;
    link.lostSinceMs = nowMs;
    link.checkedMs = nowMs;
    return true;
  }

  /**
   * Records that other hosts do not reach an endpoint either, so that it is the endpoint that has
   * failed.
   */
  public synchronized void endpointUnreached(String endpoint, long nowMs) {
    Link link = link(endpoint);
    link.lost = false;
    link.unreachedMs = nowMs;
  }

  /** Returns whether other hosts may be asked for an endpoint that this host failed to reach. */
  public synchronized boolean mayAskOthers(String endpoint, long nowMs) {
    return nowMs - link(endpoint).unreachedMs >= UNREACHED_MS;
  }

  /**
   * Returns whether the link to an endpoint that is silent for long is to be checked now; counts
   * such a check.
   */
  public synchronized boolean takeSilenceCheck(String endpoint, long silentMs, long nowMs) {
    Link link = link(endpoint);
    boolean due =
        !link.lost
            && nowMs - link.heardMs >= silentMs
            && nowMs - link.checkedMs >= SILENCE_CHECK_INTERVAL_MS;
    if (due) {
      link.checkedMs = nowMs;
    }
    return due;
  }

  /**
   * Returns the endpoints whose links are to be checked because another link was lost; empty if all
   * were checked just before.
   *
   * @param whileHearing whether to check them although data arrives from some endpoints
   */
  public synchronized List<String> takeSweep(boolean whileHearing, long nowMs) {
    if (nowMs - lastSweepMs < SWEEP_INTERVAL_MS || hears(nowMs) && !whileHearing) {
      return List.of();
    }
    lastSweepMs = nowMs;
    List<String> unheard = new ArrayList<>();
    links.forEach(
        (endpoint, link) -> {
          if (!link.lost && nowMs - link.heardMs >= HEARD_MS) {
            link.checkedMs = nowMs;
            unheard.add(endpoint);
          }
        });
    return unheard;
  }

  /** Returns the endpoints with lost links that are to be checked now; counts these checks. */
  public synchronized List<String> takeRechecks(long nowMs) {
    List<String> due =
        links.entrySet().stream()
            .filter(e -> e.getValue().lost)
            .filter(e -> nowMs - e.getValue().checkedMs >= RECHECK_INTERVAL_MS)
            .sorted(Comparator.comparingLong(e -> e.getValue().checkedMs))
            .limit(MAX_RECHECKS)
            .map(Map.Entry::getKey)
            .toList();
    due.forEach(endpoint -> links.get(endpoint).checkedMs = nowMs);
    return due;
  }

  /**
   * Returns the endpoints with lost links that are to be checked now because another link is intact
   * again: all that are not being checked. Counts these checks.
   */
  public synchronized List<String> takeAllLost(long nowMs) {
    List<String> lost =
        links.entrySet().stream()
            .filter(e -> e.getValue().lost && nowMs - e.getValue().checkedMs >= CHECK_MS)
            .map(Map.Entry::getKey)
            .toList();
    lost.forEach(endpoint -> links.get(endpoint).checkedMs = nowMs);
    return lost;
  }
}
