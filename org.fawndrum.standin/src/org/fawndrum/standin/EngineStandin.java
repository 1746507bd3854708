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

/** Stand-in of a model engine: an {@link EngineModel} with HTTP. Confined to one event loop. */
public final class EngineStandin {
  private static final int UNAVAILABLE = 503;
  private static final long KEEP_ALIVE_MS = 1_000;
  private static final long RETRY_AFTER_MS = 500;

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

  /** The response to which a stream's events are written. */
  private record Client(StreamOrder order, HttpServerResponse response) {}

  /**
   * Creates an engine that is not started.
   *
   * @param vertx the event loop
   * @param ip the address to listen on
   * @param port the port to listen on; 0 selects a free one
   * @param name the name of the engine's host
   * @param incarnation the incarnation; increases with each start
   * @param settings the capacity of the engine
   * @param loadLagMs delay of the load reports, in milliseconds
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

  /** Starts to listen and to run steps. */
  public Future<HttpServer> listen() {
    return server
        .listen()
        .onSuccess(
            started -> {
              vertx.setPeriodic(settings.stepMs(), id -> step());
              vertx.setPeriodic(KEEP_ALIVE_MS, id -> sendKeepAlives());
              vertx.setPeriodic(Math.max(1, loadLagMs), id -> lastLoad = currentLoad());
            });
  }

  /** Stops listening. */
  public Future<Void> close() {
    return server.close();
  }

  /** Returns the port on which the engine listens. */
  public int port() {
    return server.port();
  }

  private void faults(HttpServerRequest request, Faults changes) {
    faults = faults.with(changes);
    JsonServer.answer(request.response(), changes);
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
    boolean accepted = !faults.refuse() && !faults.leaving() && model.submit(job);
    if (!accepted) {
      request.response().setStatusCode(UNAVAILABLE);
      JsonServer.answer(request.response(), new NotRun("no", "not taken", RETRY_AFTER_MS));
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
    if (model.isIdle() || faults.silent()) {
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
    String text = AnswerText.tokenAt(client.order().prompt(), output.at());
    faults
        .apply(output.attempt(), output.at(), text)
        .forEach(event -> client.response().write(event(event)));
  }

  private static String event(StreamEvent event) {
    return "data: " + Json.write(event) + "\n\n";
  }

  private void sendKeepAlives() {
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
            .map(change -> new CacheEvent(change.number(), change.stored(), change.evicted()))
            .toList();
    JsonServer.answer(request.response(), new CacheEvents(events));
  }

  private void holdings(HttpServerRequest request) {
    Map<String, Holding> byOwner = new LinkedHashMap<>();
    for (EngineModel.Job job : model.jobs()) {
      Holding holding =
          new Holding(
              job.ownerHost(), job.ownerIncarnation(), 1, job.promptTokens() + job.answerTokens());
      byOwner.merge(job.ownerHost() + "#" + job.ownerIncarnation(), holding, EngineStandin::sum);
    }
    JsonServer.answer(request.response(), new Holdings(new ArrayList<>(byOwner.values())));
  }

  private static Holding sum(Holding first, Holding second) {
    return new Holding(
        first.ownerHost(),
        first.ownerIncarnation(),
        first.streams() + second.streams(),
        first.tokens() + second.tokens());
  }

  private void sweep(HttpServerRequest request, Sweep sweep) {
    long usedBefore = model.usedTokens();
    List<String> ended = model.sweep(sweep.ownerHost(), sweep.upToIncarnation());
    for (String attempt : ended) {
      Client client = clients.remove(attempt);
      if (client != null && !client.response().closed()) {
        client.response().reset();
      }
    }
    JsonServer.answer(request.response(), new Swept(ended.size(), usedBefore - model.usedTokens()));
  }
}
