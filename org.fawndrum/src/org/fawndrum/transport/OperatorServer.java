// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.fawndrum.errors.BadCellsException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.OperatorMessages.ChangeView;
import org.fawndrum.protocol.OperatorMessages.Failure;
import org.fawndrum.protocol.OperatorMessages.MetricsView;
import org.fawndrum.protocol.OperatorMessages.Publish;
import org.fawndrum.protocol.OperatorMessages.Published;
import org.fawndrum.protocol.OperatorMessages.Status;
import org.fawndrum.protocol.OperatorViews;
import org.fawndrum.protocol.PlatformLog;
import org.fawndrum.protocol.TableCsv;
import org.fawndrum.settings.HostSettings;
import org.fawndrum.settings.OperatorKey;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.CellChange;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.Publication;
import org.fawndrum.state.PublicationOutcome;

/** HTTP server for operators: probes, status, metrics, watch, table and drain. */
final class OperatorServer {
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;
  private static final int FORBIDDEN = 403;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int UNPROCESSABLE = 422;
  private static final int UNAVAILABLE = 503;
  private static final long MAX_BODY_BYTES = 8 << 20;
  private static final long BODY_SILENCE_MS = 10_000;

  private final HttpServer server;
  private final Keyring<OperatorKey> keys;
  private final BodyReader bodyReader;
  private final PlatformLog platform;
  private final TableStore tables;
  private final DecisionFeed feed;
  private final RequestMetrics metrics;
  private final Supplier<Status> status;
  private final Runnable drain;
  private final HostLog log;

  OperatorServer(
      Vertx vertx,
      HostSettings settings,
      PlatformLog platform,
      TableStore tables,
      DecisionFeed feed,
      RequestMetrics metrics,
      Supplier<Status> status,
      Runnable drain,
      HostLog log) {
    this.keys = new Keyring<>(settings.operatorKeys(), OperatorKey::key);
    this.bodyReader = new BodyReader(vertx, MAX_BODY_BYTES, BODY_SILENCE_MS);
    this.platform = platform;
    this.tables = tables;
    this.feed = feed;
    this.metrics = metrics;
    this.status = status;
    this.drain = drain;
    this.log = log;
    this.server =
        vertx
            .createHttpServer(
                ServerOptions.of(settings.operators(), settings.limits().headerBytes()))
            .requestHandler(this::handle);
  }

  Future<HttpServer> listen() {
    return server.listen();
  }

  Future<Void> close() {
    return server.close();
  }

  int port() {
    return server.actualPort();
  }

  private void handle(HttpServerRequest request) {
    HttpServerResponse response = request.response();
    String path = request.path();
    if ("/health".equals(path)) {
      response.end("{\"alive\":true}");
      return;
    }
    if ("/ready".equals(path)) {
      String state = status.get().state();
      response.setStatusCode("ready".equals(state) ? OK : UNAVAILABLE);
      response.end("{\"state\":\"" + state + "\"}");
      return;
    }
    Optional<OperatorKey> operator = keys.owner(request.getHeader("authorization"));
    if (operator.isEmpty()) {
      fail(response, UNAUTHORIZED, "not_authorized", "no valid operator key");
      return;
    }
    if (request.method() == HttpMethod.GET) {
      read(request, response, path);
    } else if (!operator.get().mayChange()) {
      fail(response, FORBIDDEN, "not_authorized", "this operator may not change anything");
    } else {
      change(request, response, path, operator.get());
    }
  }

  private void read(HttpServerRequest request, HttpServerResponse response, String path) {
    switch (path) {
      case "/status" -> answer(response, OK, status.get());
      case "/metrics" -> metrics(request, response);
      case "/watch" -> new DecisionWatch(feed, request, response).start();
      case "/table" -> answer(response, OK, OperatorViews.table(tables.table()));
      case "/table.csv" ->
          response
              .putHeader("content-type", "text/csv")
              .putHeader("x-table-revision", Long.toString(tables.table().revision()))
              .end(TableCsv.write(tables.table()));
      case "/table/history" -> answer(response, OK, OperatorViews.history(tables.table()));
      default -> readItem(response, path);
    }
  }

  private void metrics(HttpServerRequest request, HttpServerResponse response) {
    if ("json".equals(request.getParam("form"))) {
      answer(response, OK, new MetricsView(metrics.values()));
    } else {
      response.putHeader("content-type", "text/plain").end(metrics.text());
    }
  }

  private void readItem(HttpServerResponse response, String path) {
    String explain = "/explain/";
    String publication = "/table/publications/";
    if (path.startsWith(explain)) {
      feed.story(path.substring(explain.length()))
          .ifPresentOrElse(
              story -> answer(response, OK, story),
              () ->
                  fail(
                      response,
                      NOT_FOUND,
                      "unknown_request",
                      "this host has no decisions about this request"));
    } else if (path.startsWith(publication)) {
      String id = path.substring(publication.length());
      Published published =
          tables
              .table()
              .outcome(id)
              .map(outcome -> OperatorViews.published(id, outcome))
              .orElse(OperatorViews.unknown(id));
      answer(response, OK, published);
    } else {
      fail(response, NOT_FOUND, "no_such_path", path);
    }
  }

  private void change(
      HttpServerRequest request, HttpServerResponse response, String path, OperatorKey operator) {
    if ("/drain".equals(path)) {
      drain.run();
      answer(response, ACCEPTED, status.get());
    } else if ("/table/publish".equals(path)) {
      bodyReader
          .read(request, operator.operator())
          .thenAccept(body -> publish(response, body, operator))
          .exceptionally(
              failure -> {
                fail(response, BAD_REQUEST, "bad_request", String.valueOf(failure.getMessage()));
                return null;
              });
    } else {
      fail(response, NOT_FOUND, "no_such_path", path);
    }
  }

  private void publish(HttpServerResponse response, Buffer body, OperatorKey operator) {
    Publish request;
    try {
      request = Json.read(body.getBytes(), Publish.class);
    } catch (IOException e) {
      fail(response, BAD_REQUEST, "bad_request", "the body is not a publication");
      return;
    }
    List<CellChange> changes = new ArrayList<>();
    String invalid = readChanges(request, changes);
    if (invalid != null) {
      fail(response, UNPROCESSABLE, "unknown_cell", invalid);
      return;
    }
    Publication publication =
        new Publication(request.id(), operator.operator(), request.editedFrom(), changes);
    new PublishChanges(platform, tables, publication)
        .call()
        .whenComplete((outcome, failure) -> published(response, publication, outcome, failure));
  }

  /**
   * Parses the changes of a publication; returns the first invalid one, or null when all are valid.
   */
  private static String readChanges(Publish request, List<CellChange> changes) {
    if (request.changes() == null || request.id() == null) {
      return "id, changes";
    }
    for (ChangeView change : request.changes()) {
      CallerGroup group = change.group() == null ? null : CallerGroup.parse(change.group());
      Column column = change.column() == null ? null : Column.named(change.column());
      if (group == null || column == null) {
        return change.group() + ":" + change.column();
      }
      changes.add(new CellChange(new CellKey(group, column), change.value()));
    }
    return null;
  }

  private void published(
      HttpServerResponse response,
      Publication publication,
      PublicationOutcome outcome,
      Throwable failure) {
    Published answer;
    int code;
    if (outcome != null) {
      answer = OperatorViews.published(publication.id(), outcome);
      code = outcome instanceof PublicationOutcome.Accepted ? OK : CONFLICT;
    } else if (failure instanceof BadCellsException bad) {
      List<org.fawndrum.protocol.OperatorMessages.DeciderView> cells =
          OperatorViews.badCells(bad.badCells());
      answer = new Published(publication.id(), "invalid", -1, cells);
      code = UNPROCESSABLE;
    } else {
      answer = OperatorViews.unknown(publication.id());
      code = ACCEPTED;
    }
    log.event(
        LogEvent.OPERATOR_PUBLISHED, publication.operator(), publication.id(), answer.outcome());
    answer(response, code, answer);
  }

  private static void answer(HttpServerResponse response, int code, Object message) {
    response
        .setStatusCode(code)
        .putHeader("content-type", "application/json")
        .end(Json.write(message));
  }

  private static void fail(HttpServerResponse response, int code, String error, String message) {
    answer(response, code, new Failure(error, message));
  }
}
