// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.fawndrum.coordination.limit.EndpointRateLimits.Statement;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.IssuerSelector;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.ServiceProfile;

/**
 * Simulates the hosts of a fleet that send to one endpoint which names a rate: their heartbeats,
 * demands and permits with random delays, starts, freezes and partitions. Counts at the endpoint.
 */
final class PermitFleet {
  static final String ENDPOINT = "e-1";

  private static final Endpoint STARTING =
      new Endpoint(
          new HostIdentity(ENDPOINT, 1),
          "zone",
          EndpointKind.PLAIN,
          new HostAddress(ENDPOINT, 1),
          Set.of("pool"),
          0);

  private static final long HEARTBEAT_MS = 1_000;
  private static final long TICK_MS = 20;
  private static final long ANSWER_MS = 50;

  /** How long a caller waits for a permit, in milliseconds. */
  private static final long PATIENCE_MS = 2_500;

  /** Time from the signal to stop until a host ends, in milliseconds. */
  private static final long STOP_MS = 2_800;

  /** Time within which the hosts start, in milliseconds. */
  private static final int START_SPREAD_MS = 300;

  /** Number of hosts at whose addresses those that start look for others. */
  private static final int SEEDS = 3;

  private final Random random;
  private final int firstCount;
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
  private long eventCount;
  private long nowMs;

  /** What the endpoint accepts while it starts; 0 if any number. */
  double startPerSecond;

  private long startedUntilMs;

  /** What the endpoint names in its answers now. */
  double rate = EndpointRateLimits.UNLIMITED;

  /** Whether two hosts receive each other's messages. */
  BiPredicate<String, String> connected = (from, to) -> true;

  /** Maximum delay of a message between hosts, in milliseconds. */
  int maxDelayMs = 30;

  /** When requests arrived at the endpoint. */
  final List<Long> arrivals = new ArrayList<>();

  int offered;
  int refused;

  /** Something that happens at a time, in the order of its creation. */
  private record Event(long atMs, long number, Runnable step) {}

  /** One host, as far as permits are concerned. */
  private final class Host {
    final FleetMember member;
    final IssuerSelector issuers;
    final EndpointRateLimits limits = new EndpointRateLimits();
    final StartingEndpoints starts = new StartingEndpoints();
    final EndpointRates rates = new LowestRates(limits, starts);
    final EndpointPermits permits = new EndpointPermits(rates);
    final PermitIssuer issuer = new PermitIssuer();
    Deque<Long> waiting = new ArrayDeque<>();
    long frozenUntilMs;
    boolean knowsEndpoint;
    boolean stopping;

    Host(String name, long incarnation) {
      member =
          new FleetMember(new HostIdentity(name, incarnation), new HostAddress(name, 1), "zone", 1);
      List<HostAddress> seeds = seeds();
      issuers = new IssuerSelector(member, () -> seeds);
      starts.updateServices(
          List.of(new ServiceProfile("pool", 1, Optional.empty(), 3_000, startPerSecond)));
    }

    String name() {
      return member.identity().host();
    }

    boolean running() {
      return hosts.get(name()) == this;
    }

    FleetMember described() {
      if (stopping) {
        return member.stopping();
      }
      return issuers.isEstablished() ? member : member.starting();
    }

    void heartbeat() {
      sendHeartbeat();
      after(HEARTBEAT_MS, this, Host::heartbeat);
    }

    void sendHeartbeat() {
      FleetMember from = described();
      hosts.values().forEach(to -> send(to, host -> host.receive(from, limits.statements())));
    }

    void stop() {
      stopping = true;
      issuers.stop();
      refresh();
      sendHeartbeat();
      after(STOP_MS, this, ended -> hosts.remove(name()));
    }

    void receive(FleetMember from, Iterable<Statement> statements) {
      issuers.observed(from, nowMs);
      for (Statement statement : statements) {
        if (limits.reported(statement)) {
          broadcast();
        }
      }
    }

    void broadcast() {
      List<Statement> all = List.copyOf(limits.statements());
      FleetMember from = described();
      hosts.values().forEach(to -> send(to, host -> host.receive(from, all)));
      offer();
    }

    void tick() {
      refresh();
      deliver(issuer.issueDue(nowMs));
      offer();
      after(TICK_MS, this, Host::tick);
    }

    void refresh() {
      issuers.check(nowMs);
      double part = rates.isLimited(ENDPOINT, nowMs) ? issuers.part(ENDPOINT, nowMs) : 0;
      double perSecond = Math.max(PermitIssuer.MIN_PER_SECOND, rates.perSecond(ENDPOINT, nowMs));
      double maxKept = starts.isLimited(ENDPOINT, nowMs) ? part : Double.POSITIVE_INFINITY;
      issuer.setRate(ENDPOINT, part == 0 ? 0 : part * perSecond, maxKept, nowMs);
    }

    void deliver(List<PermitIssuer.Issued> issued) {
      for (PermitIssuer.Issued each : issued) {
        Host to = hosts.get(each.to().identity().host());
        if (to == this) {
          granted(each.grant());
        } else if (to != null && to.member.equals(each.to())) {
          send(to, host -> host.granted(each.grant()));
        }
      }
    }

    void granted(PermitGrant grant) {
      permits.granted(grant, nowMs);
      offer();
    }

    void demanded(FleetMember from, PermitDemand demand) {
      refresh();
      deliver(issuer.demanded(from, demand, nowMs));
    }

    /** Sends what may be sent, and demands permits for the rest. */
    void offer() {
      refuseLate();
      if (!knowsEndpoint) {
        return;
      }
      while (!waiting.isEmpty() && !permits.isLacking(ENDPOINT, nowMs)) {
        permits.take(ENDPOINT, nowMs);
        waiting.removeFirst();
        sendRequest();
      }
      if (!waiting.isEmpty()) {
        permits.require(ENDPOINT, waiting.size(), 0, nowMs);
      } else if (!permits.required().isEmpty()) {
        permits.withdraw(ENDPOINT);
      }
      permits.takeDemands(nowMs).forEach(this::demand);
    }

    /** Refuses the requests that cannot be sent in time, as far as is known. */
    void refuseLate() {
      Deque<Long> inTime = new ArrayDeque<>();
      for (long arrivedMs : waiting) {
        if (permits.expectedMs(ENDPOINT, inTime.size(), nowMs) <= arrivedMs + PATIENCE_MS) {
          inTime.addLast(arrivedMs);
        } else {
          refused++;
        }
      }
      waiting = inTime;
    }

    void demand(PermitDemand demand) {
      FleetMember issuing = issuers.issuer(ENDPOINT, nowMs);
      Host to = issuing == null ? null : hosts.get(issuing.identity().host());
      if (issuing == null) {
        after(0, this, host -> host.granted(PermitGrant.notIssued(demand)));
      } else if (to == this) {
        demanded(member, demand);
      } else if (to != null) {
        send(to, host -> host.demanded(member, demand));
      }
    }

    void sendRequest() {
      long sentMs = nowMs;
      at(
          nowMs + 1 + random.nextInt(5),
          () -> {
            arrivals.add(nowMs);
            double named = rate;
            after(ANSWER_MS, this, host -> host.answered(named, sentMs));
          });
    }

    void answered(double named, long sentMs) {
      if (limits.answered(new Statement(ENDPOINT, named, sentMs, nowMs))) {
        broadcast();
      }
    }

    private void send(Host to, Consumer<Host> step) {
      if (to != this && connected.test(name(), to.name())) {
        after(1 + random.nextInt(maxDelayMs), to, step);
      }
    }
  }

  PermitFleet(int count, long seed) {
    random = new Random(seed);
    firstCount = count;
    for (int i = 0; i < count; i++) {
      String name = "host-" + i;
      at(random.nextInt(START_SPREAD_MS), () -> start(name));
    }
  }

  /** Returns addresses of hosts that run; at first, those of hosts that start with this one. */
  private List<HostAddress> seeds() {
    List<String> running =
        nowMs < START_SPREAD_MS
            ? IntStream.range(0, firstCount).mapToObj(i -> "host-" + i).toList()
            : names();
    return running.stream().limit(SEEDS).map(name -> new HostAddress(name, 1)).toList();
  }

  private void at(long atMs, Runnable step) {
    events.add(new Event(atMs, ++eventCount, step));
  }

  /** Runs a step at a host after a time; once it is not frozen, and not if it has ended. */
  private void after(long delayMs, Host host, Consumer<Host> step) {
    at(nowMs + delayMs, () -> runAt(host, step));
  }

  private void runAt(Host host, Consumer<Host> step) {
    if (nowMs < host.frozenUntilMs) {
      at(host.frozenUntilMs, () -> runAt(host, step));
    } else if (host.running()) {
      step.accept(host);
    }
  }

  /**
   * Starts the endpoint anew: each host reads its entry some time later, and then knows of it.
   *
   * @param remainingMs how long the endpoint accepts only {@link #startPerSecond}
   */
  void startEndpoint(long remainingMs, int maxReadMs) {
    startedUntilMs = nowMs + remainingMs;
    hosts.values().forEach(host -> readEntry(host, maxReadMs));
  }

  private void readEntry(Host host, int maxReadMs) {
    host.knowsEndpoint = false;
    after(
        1 + random.nextInt(maxReadMs),
        host,
        reader -> {
          reader.knowsEndpoint = true;
          reader.starts.reported(STARTING, Math.max(0, startedUntilMs - nowMs), nowMs);
          reader.offer();
        });
  }

  /** Starts a host, or starts it again without what it knew. */
  void start(String name) {
    Host host = new Host(name, nowMs + 1);
    readEntry(host, 50);
    hosts.put(name, host);
    host.heartbeat();
    host.tick();
  }

  void kill(String name) {
    hosts.remove(name);
  }

  /** Stops a host as planned: it says so, issues nothing more, and ends some time later. */
  void stop(String name) {
    hosts.get(name).stop();
  }

  void freeze(String name, long durationMs) {
    hosts.get(name).frozenUntilMs = nowMs + durationMs;
  }

  List<String> names() {
    return List.copyOf(hosts.keySet());
  }

  long nowMs() {
    return nowMs;
  }

  /** Runs for a time while callers send at a rate, at all hosts alike or half of them at one. */
  void run(long durationMs, double offeredPerSecond, boolean skewed) {
    long endMs = nowMs + durationMs;
    for (double atMs = nowMs; atMs < endMs; ) {
      atMs += -Math.log(1 - random.nextDouble()) * 1_000 / offeredPerSecond;
      at((long) atMs, () -> request(skewed && random.nextBoolean()));
    }
    while (!events.isEmpty() && events.peek().atMs() <= endMs) {
      Event event = events.remove();
      nowMs = event.atMs();
      event.step().run();
    }
    nowMs = endMs;
  }

  private void request(boolean atFirst) {
    List<String> names = names();
    if (names.isEmpty()) {
      return;
    }
    Host host = hosts.get(names.get(atFirst ? 0 : random.nextInt(names.size())));
    offered++;
    host.waiting.addLast(nowMs);
    runAt(host, Host::offer);
  }

  /** Returns the most requests in a window among those that arrived from one time to another. */
  int mostInWindow(long windowMs, long fromMs, long toMs) {
    List<Long> counted = arrivals.stream().filter(at -> at >= fromMs && at < toMs).toList();
    int most = 0;
    int first = 0;
    for (int last = 0; last < counted.size(); last++) {
      while (counted.get(last) - counted.get(first) >= windowMs) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  long arrivalsBetween(long fromMs, long toMs) {
    return arrivals.stream().filter(at -> at >= fromMs && at < toMs).count();
  }

  /** Returns the longest time between two requests that arrived after a time. */
  long longestGapMs(long fromMs) {
    long last = fromMs;
    long longest = 0;
    for (long at : arrivals) {
      if (at >= fromMs) {
        longest = Math.max(longest, at - last);
        last = at;
      }
    }
    return longest;
  }
}
