// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Supplier;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.coordination.LoadReport;
import org.fawndrum.coordination.Policies;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.RequestTarget;
import org.fawndrum.standin.EngineModel;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.TableRevision;

/**
 * Simulates entry hosts and engines on a virtual clock: the real decision code of each host and the
 * step model of each engine, without any transport. Used only to measure policies.
 */
final class FleetSimulation {
  private static final long TICK_MS = 10;
  private static final String MODEL = "m";
  private static final HostAddress UNUSED_ADDRESS = new HostAddress("127.0.0.1", 1);

  private final FleetSettings settings;
  private final List<RequestCoordinator> hosts = new ArrayList<>();
  private final List<Engine> engines = new ArrayList<>();
  private final Map<String, InFlightRequest> inFlight = new HashMap<>();
  private final List<RequestResult> results = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private long order;
  private long nowMs;
  private long endMs;
  private long runMs;
  private double processedInRun;

  /** A scheduled event; events at the same time run in order of scheduling. */
  private record Event(long atMs, long order, Runnable action) {}

  /** A request without an outcome yet. */
  private static final class InFlightRequest {
    final Arrival arrival;
    final int host;
    long firstTokenMs = -1;
    int attempts;

    InFlightRequest(Arrival arrival) {
      this.arrival = arrival;
      this.host = arrival.host();
    }
  }

  /** An engine with its running attempts. */
  private static final class Engine {
    final Endpoint endpoint;
    final EngineModel model;
    final Map<String, AttemptId> attempts = new HashMap<>();
    List<EngineModel.Output> pending = List.of();
    boolean stepping;
    boolean crashed;
    long reports;

    Engine(Endpoint endpoint, EngineModel model) {
      this.endpoint = endpoint;
      this.model = model;
    }
  }

  FleetSimulation(FleetSettings settings, TableRevision table, Supplier<Policies> policies) {
    this.settings = settings;
    for (int i = 0; i < settings.engines(); i++) {
      Endpoint endpoint =
          new Endpoint(
              new HostIdentity("engine-" + i, 1),
              zone(i),
              EndpointKind.MODEL,
              UNUSED_ADDRESS,
              Set.of(MODEL),
              settings.engine().memoryTokens());
      engines.add(new Engine(endpoint, new EngineModel(settings.engine())));
    }
    List<Endpoint> endpoints = engines.stream().map(engine -> engine.endpoint).toList();
    for (int i = 0; i < settings.hosts(); i++) {
      HostIdentity self = new HostIdentity("host-" + i, 1);
      RequestCoordinator host = new RequestCoordinator(self, zone(i), policies.get());
      host.updateTable(table, 0);
      host.updateEndpoints(endpoints, 0);
      hosts.add(host);
    }
  }

  private String zone(int index) {
    return "zone-" + index % settings.zones();
  }

  /**
   * Runs a workload and returns the outcome of each request, in order of completion; unfinished
   * requests are last.
   *
   * @param arrivals the requests
   * @param arriveMs time during which requests arrive, in milliseconds
   * @param drainMs time after that in which they may complete, in milliseconds
   */
  List<RequestResult> run(List<Arrival> arrivals, long arriveMs, long drainMs) {
    runMs = arriveMs;
    endMs = runMs + drainMs;
    schedule(
        runMs,
        () ->
            processedInRun =
                engines.stream().mapToLong(engine -> engine.model.processedTokens()).sum());
    arrivals.forEach(arrival -> schedule(arrival.atMs(), () -> arrive(arrival)));
    for (int i = 0; i < hosts.size(); i++) {
      int host = i;
      schedule(i, () -> tick(host));
    }
    for (Engine engine : engines) {
      schedule(engines.indexOf(engine) * 7L % settings.reportEveryMs(), () -> report(engine));
    }
    if (settings.engineCrashMs() >= 0) {
      schedule(settings.engineCrashMs(), () -> crash(engines.get(0)));
    }
    while (!events.isEmpty() && events.peek().atMs() <= endMs) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.action().run();
    }
    inFlight.values().forEach(request -> end(request, false, null));
    return results;
  }

  /**
   * Returns the engines' processed tokens as a fraction of their capacity while requests arrived.
   */
  double engineUse() {
    return processedInRun / (settings.tokensPerSecond() * runMs / 1000.0);
  }

  private void schedule(long atMs, Runnable action) {
    events.add(new Event(atMs, order++, action));
  }

  private void arrive(Arrival arrival) {
    String id = "r" + results.size() + "-" + order++;
    boolean isLong = arrival.promptTokens() >= Workload.LONG_TOKENS;
    RequestFacts facts =
        new RequestFacts(
            id,
            new CallerGroup("w" + arrival.workspace(), isLong ? "long" : "quick"),
            new RequestTarget(EndpointKind.MODEL, MODEL),
            arrival.promptTokens(),
            arrival.answerTokens(),
            nowMs,
            0,
            true,
            arrival.prefixes());
    inFlight.put(id, new InFlightRequest(arrival));
    execute(arrival.host(), hosts.get(arrival.host()).arrive(facts, nowMs));
  }

  private void tick(int host) {
    execute(host, hosts.get(host).tick(nowMs));
    schedule(nowMs + TICK_MS, () -> tick(host));
  }

  private void report(Engine engine) {
    if (engine.crashed) {
      return;
    }
    LoadReport load = engine.model.load(++engine.reports);
    schedule(
        nowMs + settings.reportLagMs(),
        () -> {
          for (int i = 0; i < hosts.size(); i++) {
            if (!isPartitioned(i, engine)) {
              execute(i, hosts.get(i).loadReported(engine.endpoint.identity(), load, nowMs));
            }
          }
        });
    schedule(nowMs + settings.reportEveryMs(), () -> report(engine));
  }

  private boolean isPartitioned(int host, Engine engine) {
    boolean active = nowMs >= settings.partitionStartMs() && nowMs < settings.partitionEndMs();
    boolean hostInZone = zone(host).equals("zone-0");
    boolean engineInZone = engine.endpoint.zone().equals("zone-0");
    return settings.partitionStartMs() >= 0 && active && hostInZone != engineInZone;
  }

  private void execute(int host, List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        send(host, send);
      } else if (action instanceof Action.Cancel cancel) {
        Engine engine = engine(cancel.endpoint());
        engine.model.cancel(cancel.attempt().toString());
        engine.attempts.remove(cancel.attempt().toString());
      } else if (action instanceof Action.Refuse refuse) {
        end(inFlight.remove(refuse.requestId()), false, refuse.refusal().kind());
      }
    }
  }

  private Engine engine(Endpoint endpoint) {
    return engines.stream()
        .filter(engine -> engine.endpoint.equals(endpoint))
        .findFirst()
        .orElseThrow();
  }

  private void send(int host, Action.Send send) {
    InFlightRequest request = inFlight.get(send.attempt().requestId());
    request.attempts++;
    Engine engine = engine(send.endpoint());
    if (engine.crashed || isPartitioned(host, engine)) {
      schedule(nowMs, () -> attemptEvent(send.attempt(), AttemptEvent.CONNECT_FAILED));
      return;
    }
    Arrival arrival = request.arrival;
    String name = send.attempt().toString();
    EngineModel.Job job =
        new EngineModel.Job(
            name,
            send.attempt().owner().host(),
            1,
            arrival.promptTokens(),
            arrival.answerTokens(),
            send.priority(),
            0,
            arrival.prefixes());
    if (!engine.model.submit(job)) {
      schedule(nowMs, () -> attemptEvent(send.attempt(), AttemptEvent.REFUSED_BY_ENDPOINT));
      return;
    }
    engine.attempts.put(name, send.attempt());
    if (!engine.stepping) {
      engine.stepping = true;
      schedule(nowMs, () -> step(engine));
    }
  }

  private void step(Engine engine) {
    List<EngineModel.Output> outputs = engine.pending;
    engine.pending = List.of();
    outputs.forEach(output -> deliver(engine, output));
    if (engine.crashed || engine.model.isIdle()) {
      engine.stepping = false;
      return;
    }
    engine.pending = engine.model.step();
    schedule(nowMs + settings.engine().stepMs(), () -> step(engine));
  }

  private void deliver(Engine engine, EngineModel.Output output) {
    AttemptId attempt = engine.attempts.get(output.attempt());
    if (attempt == null) {
      return;
    }
    InFlightRequest request = inFlight.get(attempt.requestId());
    if (output.end()) {
      engine.attempts.remove(output.attempt());
      attemptEvent(attempt, AttemptEvent.ANSWERED);
      if (request != null) {
        end(inFlight.remove(attempt.requestId()), true, null);
      }
    } else if (request != null && request.firstTokenMs < 0) {
      request.firstTokenMs = nowMs - request.arrival.atMs();
      attemptEvent(attempt, AttemptEvent.ANSWERING);
    }
  }

  private void attemptEvent(AttemptId attempt, AttemptEvent event) {
    InFlightRequest request = inFlight.get(attempt.requestId());
    if (request != null) {
      execute(request.host, hosts.get(request.host).attemptEvent(attempt, event, nowMs));
    }
  }

  private void crash(Engine engine) {
    engine.crashed = true;
    List<AttemptId> aborted = List.copyOf(engine.attempts.values());
    engine.attempts.clear();
    aborted.forEach(attempt -> attemptEvent(attempt, AttemptEvent.LOST));
  }

  private void end(InFlightRequest request, boolean finished, RefusalKind refusal) {
    results.add(
        new RequestResult(
            request.arrival, request.firstTokenMs, finished, nowMs, refusal, request.attempts));
  }
}
