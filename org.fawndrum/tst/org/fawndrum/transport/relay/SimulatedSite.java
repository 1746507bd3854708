// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.fawndrum.state.HostAddress;

/**
 * Hosts that follow the store in simulated time, while paths fail. Judges at each moment whether
 * every host that is in touch has the newest configuration in force that was written longer ago
 * than it may take. Times are in milliseconds.
 */
final class SimulatedSite {
  /** How long nothing may have happened to a host before it counts as in touch. */
  static final long CONTACT_MS = 3_000;

  private static final long STEP_MS = 5;
  private static final int MAX_DELAY_MS = 3;

  private final SimulatedTime time = new SimulatedTime();
  private final SimulatedStore store = new SimulatedStore(time);
  private final Random random;
  private final long applyMs;
  private final List<SimulatedHost> hosts = new ArrayList<>();

  /** When something last happened to a host, but not to its path to the store. */
  private final Map<SimulatedHost, Long> troubledMs = new HashMap<>();

  /** When a path of a host to the store, its own or over another host, was last not intact. */
  private final Map<Way, Long> brokenMs = new HashMap<>();

  private Lateness worst = Lateness.NONE;
  private Lateness worstOnOwnPath = Lateness.NONE;

  /** The path of a host to the store over a host, which may be itself. */
  private record Way(SimulatedHost host, SimulatedHost via) {}

  /**
   * A configuration that was too late at a host in touch.
   *
   * @param host the host; empty if none ever was
   * @param atMs when it was not yet in force
   * @param byMs by how much it was too late then
   */
  record Lateness(String host, long atMs, long byMs) {
    static final Lateness NONE = new Lateness("", 0, 0);

    Lateness max(Lateness other) {
      return other.byMs > byMs ? other : this;
    }
  }

  /**
   * Creates a site; all hosts have read the first configuration when this returns.
   *
   * @param zones the number of hosts of each zone
   */
  SimulatedSite(long seed, RelayBounds bounds, int... zones) {
    this.random = new Random(seed);
    this.applyMs = bounds.applyMs();
    store.write();
    for (int zone = 0; zone < zones.length; zone++) {
      for (int i = 0; i < zones[zone]; i++) {
        String name = (char) ('a' + zone) + "-" + (i + 1);
        hosts.add(new SimulatedHost(this, name, name.substring(0, 1), hosts.size(), bounds));
      }
    }
    hosts.forEach(host -> host.meet(hosts));
    time.elapse(2 * CONTACT_MS);
  }

  SimulatedTime time() {
    return time;
  }

  SimulatedStore store() {
    return store;
  }

  List<SimulatedHost> hosts() {
    return hosts;
  }

  SimulatedHost host(String name) {
    return hosts.stream()
        .filter(host -> host.member().identity().host().equals(name))
        .findFirst()
        .orElseThrow();
  }

  SimulatedHost at(HostAddress address) {
    return hosts.stream()
        .filter(host -> host.member().address().equals(address))
        .findFirst()
        .orElseThrow();
  }

  Random random() {
    return random;
  }

  /** Returns what a message between two hosts takes. */
  long delayMs() {
    return 1 + random.nextInt(MAX_DELAY_MS);
  }

  /** Cuts a host off from all others, or mends that. */
  void setAlone(SimulatedHost host, boolean alone) {
    for (SimulatedHost other : hosts) {
      host.setReaches(other, !alone);
      other.setReaches(host, !alone);
    }
  }

  /** Lets a host's open connections to the store fall silent; it is not in touch for a while. */
  void silenceOpenConnections(SimulatedHost host) {
    host.store().silenceOpenConnections(2);
    troubledMs.put(host, time.nowMs());
  }

  /** Lets time pass while configurations are written at random intervals up to a maximum. */
  void writeFor(long ms, int maxIntervalMs) {
    long endMs = time.nowMs() + ms;
    long nextMs = time.nowMs();
    while (time.nowMs() < endMs) {
      if (time.nowMs() >= nextMs) {
        store.write();
        nextMs = time.nowMs() + 1 + random.nextInt(maxIntervalMs);
      }
      time.elapse(STEP_MS);
      judge();
    }
  }

  private void judge() {
    long nowMs = time.nowMs();
    hosts.forEach(host -> noteTrouble(host, nowMs));
    int required = store.revisionAt(nowMs - applyMs);
    for (SimulatedHost host : hosts) {
      if (isInTouch(host, nowMs) && host.revision() < required) {
        long lateMs = nowMs - store.writtenMs((int) host.revision() + 1) - applyMs;
        Lateness late = new Lateness(host.member().identity().host(), nowMs, lateMs);
        worst = worst.max(late);
        if (isIntact(new Way(host, host), nowMs)) {
          worstOnOwnPath = worstOnOwnPath.max(late);
        }
      }
    }
  }

  private void noteTrouble(SimulatedHost host, long nowMs) {
    SimulatedStore.Path path = host.store().path();
    if (path == SimulatedStore.Path.SLOW) {
      troubledMs.put(host, nowMs);
    }
    for (SimulatedHost via : hosts) {
      boolean reached = via == host || via.reaches(host) && host.reaches(via);
      if (!reached || via.store().path() != SimulatedStore.Path.INTACT) {
        brokenMs.put(new Way(host, via), nowMs);
      }
    }
  }

  /** Returns whether nothing happened to a host, and one and the same path was intact. */
  private boolean isInTouch(SimulatedHost host, long nowMs) {
    return troubledMs.getOrDefault(host, 0L) < nowMs - CONTACT_MS
        && hosts.stream().anyMatch(via -> isIntact(new Way(host, via), nowMs));
  }

  private boolean isIntact(Way way, long nowMs) {
    return brokenMs.getOrDefault(way, 0L) < nowMs - CONTACT_MS;
  }

  /** Returns which configuration was latest, at any host in touch. */
  Lateness worst() {
    return worst;
  }

  /** Returns which was latest at a host with a path of its own to the store. */
  Lateness worstOnOwnPath() {
    return worstOnOwnPath;
  }
}
