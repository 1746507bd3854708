// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawndrum.coordination.LoadReport;
import org.fawndrum.protocol.EngineMessages.CacheEvent;
import org.fawndrum.protocol.EngineMessages.CacheEvents;
import org.fawndrum.protocol.EngineMessages.Cancel;
import org.fawndrum.protocol.EngineMessages.Faults;
import org.fawndrum.protocol.EngineMessages.Holding;
import org.fawndrum.protocol.EngineMessages.Holdings;
import org.fawndrum.protocol.EngineMessages.Load;
import org.fawndrum.protocol.EngineMessages.NotRun;
import org.fawndrum.protocol.EngineMessages.StreamEvent;
import org.fawndrum.protocol.EngineMessages.StreamOrder;
import org.fawndrum.protocol.EngineMessages.Sweep;
import org.fawndrum.protocol.EngineMessages.Swept;
import org.fawndrum.protocol.Json;

/** A model engine's stand-in: the step model behind HTTP. Confined to one event loop. */
public final class EngineStandin {
  private static final int UNAVAILABLE = 503;
  private static final long ALIVE_MS = 1_000;
  private static final long RETRY_MS = 500;

  private final Vertx vertx;
  private final JsonServer server;
  private final EngineModel model;
  private final EngineModel.Settings settings;
  private final String name;
  private final long incarnation;
  private final long loadLagMs;
  private final Map<String, Client> clients = new HashMap<>();
  private EngineFaults faults = EngineFaults.NONE;
  private Load lastLoad;
  private long loadSequence;

  /** Where a stream's events go. */
  private record Client(StreamOrder order, HttpServerResponse response) {}

  /**
   * Makes an engine that has not started.
   *
   * @param vertx runs it
   * @param ip where it listens
   * @param port where it listens; 0 takes a free one
   * @param name its host's name
   * @param incarnation grows with each start
   * @param settings what it can do
   * @param loadLagMs how far its load reports lag behind, in milliseconds
   */
  public EngineStandin(
      Vertx vertx,
      String ip,
      int port,
      String name,
      long incarnation,
      EngineModel.Settings settings,
      long loadLagMs) {
    this.vertx = vertx;
    this.settings = settings;
    this.model = new EngineModel(settings);
    this.name = name;
    this.incarnation = incarnation;
    this.loadLagMs = loadLagMs;
    this.server =
        new JsonServer(vertx, ip, port)
            .on("POST /v1/streams", StreamOrder.class, this::stream)
            .on("POST /v1/cancel", Cancel.class, this::cancel)
            .on("GET /v1/load", (request, body) -> load(request))
            .on("GET /v1/cache-events", (request, body) -> cacheEvents(request))
            .on("GET /v1/holdings", (request, body) -> holdings(request))
            .on("POST /v1/sweep", Sweep.class, this::sweep)
            .on("POST /faults", Faults.class, this::faults);
  }

  /** Starts listening and stepping. */
  public Future<HttpServer> listen() {
    return server
        .listen()
        .onSuccess(
            started -> {
              vertx.setPeriodic(settings.stepMs(), id -> step());
              vertx.setPeriodic(ALIVE_MS, id -> sayAlive());
              vertx.setPeriodic(Math.max(1, loadLagMs), id -> lastLoad = currentLoad());
            });
  }

  /** Stops listening. */
  public Future<Void> close() {
    return server.close();
  }

  /** Returns the port it listens on. */
  public int port() {
    return server.port();
  }

  private void faults(HttpServerRequest request, Faults wanted) {
    faults = faults.with(wanted);
    JsonServer.answer(request.response(), wanted);
  }

  private void stream(HttpServerRequest request, StreamOrder order) {
    EngineModel.Job job =
        new EngineModel.Job(
            order.attempt(),
            order.ownerHost(),
            order.ownerIncarnation(),
            order.promptTokens(),
            order.maxTokens(),
            order.priority(),
            order.from(),
            order.prefixes() == null ? List.of() : order.prefixes());
    boolean taken = !faults.refuse() && !faults.leaving() && model.submit(job);
    if (!taken) {
      request.response().setStatusCode(UNAVAILABLE);
      JsonServer.answer(request.response(), new NotRun("no", "not taken", RETRY_MS));
      return;
    }
    HttpServerResponse response = request.response();
    clients.put(order.attempt(), new Client(order, response));
    response.setChunked(true).putHeader("content-type", "text/event-stream");
    if (!faults.silent()) {
      response.write(": taken\n\n");
    }
    response.closeHandler(
        v -> {
          if (clients.remove(order.attempt()) != null) {
            model.cancel(order.attempt());
          }
        });
  }

  private void step() {
    if (model.idle() || faults.silent()) {
      return;
    }
    List<EngineModel.Output> outputs = model.step();
    outputs.forEach(this::send);
  }

  private void send(EngineModel.Output output) {
    Client client = clients.get(output.attempt());
    if (client == null || client.response().closed()) {
      return;
    }
    if (output.end()) {
      clients.remove(output.attempt());
      client
          .response()
          .end(event(new StreamEvent(output.attempt(), null, null, output.at(), null)));
      return;
    }
    if (faults.cutAfterTokens() >= 0 && output.at() >= faults.cutAfterTokens()) {
      clients.remove(output.attempt());
      model.cancel(output.attempt());
      client.response().reset();
      return;
    }
    String text = AnswerText.at(client.order().prompt(), output.at());
    faults
        .apply(output.attempt(), output.at(), text)
        .forEach(one -> client.response().write(event(one)));
  }

  private static String event(StreamEvent event) {
    return "data: " + Json.write(event) + "\n\n";
  }

  private void sayAlive() {
    if (!faults.silent()) {
      clients.values().forEach(client -> client.response().write(": alive\n\n"));
    }
  }

  private void cancel(HttpServerRequest request, Cancel cancel) {
    Client client = clients.remove(cancel.attempt());
    model.cancel(cancel.attempt());
    if (client != null && !client.response().closed()) {
      client.response().reset();
    }
    JsonServer.answer(request.response(), cancel);
  }

  private void load(HttpServerRequest request) {
    if (!faults.silent()) {
      JsonServer.answer(request.response(), lastLoad == null ? currentLoad() : lastLoad);
    }
  }

  private Load currentLoad() {
    LoadReport report = model.load(++loadSequence);
    return new Load(
        name,
        incarnation,
        report.sequence(),
        report.backlogTokens(),
        report.freeTokens(),
        report.streams(),
        report.tokensPerSecond(),
        faults.leaving(),
        model.nextCacheChange());
  }

  private void cacheEvents(HttpServerRequest request) {
    long from = JsonServer.number(request, "from", 0);
    List<CacheEvent> events =
        model.cacheChanges(from).stream()
            .map(one -> new CacheEvent(one.number(), one.stored(), one.evicted()))
            .toList();
    JsonServer.answer(request.response(), new CacheEvents(events));
  }

  private void holdings(HttpServerRequest request) {
    Map<String, Holding> byOwner = new LinkedHashMap<>();
    for (EngineModel.Job job : model.jobs()) {
      Holding one =
          new Holding(
              job.ownerHost(), job.ownerIncarnation(), 1, job.promptTokens() + job.answerTokens());
      byOwner.merge(job.ownerHost() + "#" + job.ownerIncarnation(), one, EngineStandin::sum);
    }
    JsonServer.answer(request.response(), new Holdings(new ArrayList<>(byOwner.values())));
  }

  private static Holding sum(Holding one, Holding other) {
    return new Holding(
        one.ownerHost(),
        one.ownerIncarnation(),
        one.streams() + other.streams(),
        one.tokens() + other.tokens());
  }

  private void sweep(HttpServerRequest request, Sweep sweep) {
    long before = model.usedTokens();
    List<String> ended = model.sweep(sweep.ownerHost(), sweep.upToIncarnation());
    for (String attempt : ended) {
      Client client = clients.remove(attempt);
      if (client != null && !client.response().closed()) {
        client.response().reset();
      }
    }
    JsonServer.answer(request.response(), new Swept(ended.size(), before - model.usedTokens()));
  }
}
