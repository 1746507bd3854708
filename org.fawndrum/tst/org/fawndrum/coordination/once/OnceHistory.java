// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.once.ClaimCoordinator.ClaimAction;
import org.fawndrum.coordination.once.ClaimCoordinator.Sending;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * A random history of hosts, callers and a service that counts its runs. Hosts are killed and
 * replaced, frozen, and disconnected from each other and from the platform; messages are delayed,
 * reordered and lost; callers repeat calls through other hosts.
 */
final class OnceHistory {
  private static final int HOSTS = 4;
  private static final int KEYS = 4;
  private static final HostAddress NOWHERE = new HostAddress("127.0.0.1", 1);

  private final Random random;
  private final List<Host> hosts = new ArrayList<>();
  private final List<Host> replacedHosts = new ArrayList<>();
  private final List<Logged> log = new ArrayList<>();
  private final List<Step> inFlight = new ArrayList<>();
  private final Set<String> brokenLinks = new HashSet<>();
  private final Map<ClaimKey, Integer> sendings = new HashMap<>();
  final Map<ClaimKey, Integer> runs = new HashMap<>();
  final List<String> faults = new ArrayList<>();
  int sent;
  int answered;
  int unknown;
  private long nowMs = 1;
  private boolean platformUp = true;
  private int requests;

  private record Logged(HostIdentity identity, boolean retired) {}

  /** A pending event; {@code to} is the incarnation that must still be alive when it happens. */
  private record Step(Host to, Runnable run) {}

  private final class Host {
    final HostIdentity identity;
    final ClaimCoordinator claims;
    final Map<String, ClaimKey> keys = new HashMap<>();
    int replayed;
    boolean alive = true;
    boolean frozen;
    boolean registered;

    Host(HostIdentity identity) {
      this.identity = identity;
      this.claims = new ClaimCoordinator(identity);
    }

    void replay() {
      while (replayed < log.size()) {
        Logged entry = log.get(replayed++);
        if (entry.retired()) {
          claims.members().retire(entry.identity());
        } else {
          claims.members().register(entry.identity(), NOWHERE, nowMs);
        }
      }
    }

    void carryOut(List<ClaimAction> actions) {
      for (ClaimAction action : actions) {
        if (action instanceof ClaimAction.Run run) {
          later(this, () -> runAtService(keys.get(run.requestId())));
        } else if (action instanceof ClaimAction.Refuse refuse) {
          ClaimKey key = keys.get(refuse.requestId());
          if (refuse.refusal().ran() == Ran.NO && runs.getOrDefault(key, 0) > 0) {
            faults.add("reported as not run, but ran: " + key);
          }
          unknown++;
        } else if (action instanceof ClaimAction.ReadLogToEnd replay) {
          readLog(replay.requestId());
        } else if (action instanceof ClaimAction.QueryHost query) {
          queryHost(query);
        }
      }
    }

    private void readLog(String requestId) {
      if (platformUp && !cut(identity.host(), "platform")) {
        later(
            this,
            () -> {
              replay();
              carryOut(claims.logReplayed(requestId, nowMs));
            });
      }
    }

    private void queryHost(ClaimAction.QueryHost query) {
      Host other = livingHost(query.identity());
      if (other == null || cut(identity.host(), other.identity.host())) {
        return;
      }
      later(
          other,
          () -> {
            ClaimAnswer answer = other.claims.answerClaim(query.key(), nowMs);
            later(
                this,
                () -> carryOut(claims.receiveAnswer(other.identity, query.key(), answer, nowMs)));
          });
    }

    private void runAtService(ClaimKey key) {
      int chance = random.nextInt(10);
      if (chance < 2) {
        later(this, () -> claims.recordOutcome(key, Ran.NO, nowMs));
        return;
      }
      // The call may be in flight while its sender dies: it runs anyway.
      inFlight.add(
          new Step(
              null,
              () -> {
                runs.merge(key, 1, Integer::sum);
                Ran outcome = chance < 5 ? Ran.UNKNOWN : Ran.YES;
                later(this, () -> recordOutcome(key, outcome));
              }));
    }

    private void recordOutcome(ClaimKey key, Ran outcome) {
      answered += outcome == Ran.YES ? 1 : 0;
      claims.recordOutcome(key, outcome, nowMs);
    }
  }

  OnceHistory(long seed) {
    random = new Random(seed);
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(new Host(new HostIdentity("host-" + i, 1)));
    }
  }

  void play(int steps) {
    for (int i = 0; i < steps; i++) {
      nowMs += random.nextInt(60);
      step();
    }
    platformUp = true;
    brokenLinks.clear();
    hosts.forEach(host -> host.frozen = false);
    replacedHosts.forEach(host -> host.frozen = false);
    for (int i = 0; i < 400 && !inFlight.isEmpty(); i++) {
      arrive();
    }
  }

  private void step() {
    int chance = random.nextInt(100);
    if (chance < 40) {
      arrive();
    } else if (chance < 62) {
      call();
    } else if (chance < 78) {
      upkeep(hosts.get(random.nextInt(HOSTS)));
    } else {
      disturb(chance);
    }
  }

  private void disturb(int chance) {
    int at = random.nextInt(HOSTS);
    Host host = hosts.get(at);
    if (chance < 80 && !replacedHosts.isEmpty()) {
      replacedHosts.get(random.nextInt(replacedHosts.size())).frozen = false;
    } else if (chance < 82) {
      host.frozen = !host.frozen;
    } else if (chance < 85) {
      // A frozen host may be replaced, and continue later without knowing that.
      host.alive = host.frozen;
      replacedHosts.add(host);
      hosts.set(at, new Host(next(host.identity)));
    } else if (chance < 88) {
      stopPlanned(at);
    } else if (chance < 91) {
      platformUp = !platformUp;
    } else if (chance < 95) {
      String pair = pair("host-" + at, random.nextInt(3) == 0 ? "platform" : anyHost());
      if (!brokenLinks.remove(pair)) {
        brokenLinks.add(pair);
      }
    } else if (!inFlight.isEmpty() && random.nextInt(3) == 0) {
      int lost = random.nextInt(inFlight.size());
      // A call in flight to the service cannot be lost; other messages can.
      if (inFlight.get(lost).to() != null) {
        inFlight.remove(lost);
      }
    }
  }

  /**
   * A planned shutdown: the host hands its keys to all hosts that it reaches, then retires in the
   * log.
   */
  private void stopPlanned(int at) {
    Host host = hosts.get(at);
    boolean undisturbed = !host.frozen && platformUp && !cut(host.identity.host(), "platform");
    boolean busy = inFlight.stream().anyMatch(step -> step.to() == host || step.to() == null);
    if (!undisturbed || busy || !host.registered) {
      return;
    }
    List<Host> successors = new ArrayList<>();
    for (Host other : hosts) {
      boolean reachable = other != host && !other.frozen;
      if (reachable && other.registered && !cut(host.identity.host(), other.identity.host())) {
        successors.add(other);
      }
    }
    if (successors.isEmpty()) {
      return;
    }
    List<CallRegistry.HandedOverKey> handed = host.claims.registry().handover();
    successors.forEach(successor -> successor.claims.inherit(handed));
    log.add(new Logged(host.identity, true));
    host.alive = false;
    hosts.set(at, new Host(next(host.identity)));
  }

  private static HostIdentity next(HostIdentity identity) {
    return new HostIdentity(identity.host(), identity.incarnation() + 1);
  }

  private void upkeep(Host host) {
    if (host.frozen || !platformUp || cut(host.identity.host(), "platform")) {
      return;
    }
    if (!host.registered) {
      host.registered = true;
      log.add(new Logged(host.identity, false));
    }
    host.replay();
    host.carryOut(host.claims.tick(nowMs));
  }

  private void call() {
    ClaimKey key = new ClaimKey(new CallerGroup("w", "c"), "key-" + random.nextInt(KEYS));
    boolean counts = key.key().hashCode() % 2 == 0;
    int before = sendings.merge(key, 1, Integer::sum) - 1;
    Host host = hosts.get(random.nextInt(HOSTS));
    sent++;
    // A call sent to a host before its registration proves nothing about earlier sendings.
    boolean proves = counts && host.registered;
    Sending sending =
        proves && before == 0
            ? Sending.FIRST
            : counts && before > 0 ? Sending.REPEAT : Sending.UNCOUNTED;
    String id = "r" + requests++;
    host.keys.put(id, key);
    later(host, () -> host.carryOut(host.claims.arrive(id, key, sending, nowMs)));
  }

  private void later(Host to, Runnable run) {
    inFlight.add(new Step(to, run));
  }

  private void arrive() {
    if (inFlight.isEmpty()) {
      return;
    }
    int at = random.nextInt(inFlight.size());
    Step step = inFlight.get(at);
    boolean waits = step.to() != null && step.to().frozen && step.to().alive;
    if (waits) {
      return;
    }
    inFlight.remove(at);
    if (step.to() == null || step.to().alive) {
      step.run().run();
    }
  }

  private Host livingHost(HostIdentity identity) {
    return hosts.stream()
        .filter(host -> host.identity.equals(identity) && host.alive)
        .findFirst()
        .orElse(null);
  }

  private String anyHost() {
    return "host-" + random.nextInt(HOSTS);
  }

  private static String pair(String first, String second) {
    return first.compareTo(second) < 0 ? first + "~" + second : second + "~" + first;
  }

  private boolean cut(String first, String second) {
    return brokenLinks.contains(pair(first, second));
  }
}
