// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.errors.RefusedException;
import org.fawndrum.settings.CallerKey;
import org.fawndrum.settings.HostSettings;
import org.fawndrum.state.CallerGroup;

/** The callers' HTTP address: reads requests, finds out who calls, and hands them on. */
final class CallerServer {
  /** The path of model requests. */
  static final String CHAT_PATH = "/v1/chat/completions";

  /** How long a connection may rest between requests, in milliseconds. */
  private static final long KEPT_ALIVE_MS = 60_000;

  private final Vertx vertx;
  private final HttpServer server;
  private final BodyReader bodies;
  private final Keyring<CallerKey> keys;
  private final RequestIds ids;
  private final Intake intake;
  private final IdleConnections idle;
  private final TrustedConnections connections;

  /** Takes requests whose caller is known and whose body is whole. */
  interface Intake {
    /** Takes a chat request. Throws {@code RefusedException} when it cannot be one. */
    void chat(Call call);

    /** Takes a call of a plain service. Throws {@code RefusedException} when nothing serves it. */
    void plain(Call call);
  }

  /**
   * A whole request of a known caller.
   *
   * @param trusted whether its connection was opened after this host was registered, so that a
   *     first sending on it cannot have been overtaken by a later one elsewhere
   */
  record Call(
      String requestId,
      CallerGroup group,
      HttpServerRequest request,
      HttpServerResponse response,
      Buffer body,
      boolean trusted) {}

  CallerServer(Vertx vertx, HostSettings settings, RequestIds ids, Intake intake) {
    this.vertx = vertx;
    this.ids = ids;
    this.intake = intake;
    this.bodies =
        new BodyReader(vertx, settings.limits().bodyBytes(), settings.limits().incompleteMs());
    this.keys = new Keyring<>(settings.callerKeys(), CallerKey::key);
    this.connections = new TrustedConnections(vertx);
    this.idle =
        new IdleConnections(vertx, () -> settings.limits().incompleteMs(), () -> KEPT_ALIVE_MS);
    this.server =
        vertx
            .createHttpServer(ServerOptions.of(settings.callers(), settings.limits().headerBytes()))
            .requestHandler(this::handle)
            .invalidRequestHandler(this::invalid)
            .connectionHandler(this::opened);
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

  /** Takes note that this host is registered: connections opened from now on are trusted. */
  void registered() {
    connections.registered();
  }

  private void opened(HttpConnection connection) {
    connections.opened(connection);
    idle.opened(connection);
    connection.closeHandler(
        v -> {
          connections.closed(connection);
          idle.closed(connection);
        });
  }

  private void invalid(HttpServerRequest request) {
    RefusalKind kind = UnreadableHead.kind(request);
    CallerResponse.refuseAndClose(request, ids.next(), Refusal.notRun(kind));
  }

  private void handle(HttpServerRequest request) {
    idle.began(request.connection());
    request.response().endHandler(v -> idle.ended(request.connection()));
    String requestId = ids.next();
    Optional<CallerKey> key = keys.owner(request.getHeader("authorization"));
    if (key.isEmpty()) {
      refuse(request, requestId, Refusal.notRun(RefusalKind.UNKNOWN_KEY));
      return;
    }
    bodies
        .read(request, requestId)
        .thenAccept(
            body ->
                take(
                    new Call(
                        requestId,
                        key.get().group(),
                        request,
                        request.response(),
                        body,
                        connections.trusted(request.connection()))))
        .exceptionally(
            failure -> {
              refuse(request, requestId, RefusedException.refusalOf(failure));
              return null;
            });
  }

  private void take(Call call) {
    boolean chat = CHAT_PATH.equals(call.request().path());
    if (chat && call.request().method() == HttpMethod.POST) {
      intake.chat(call);
    } else {
      intake.plain(call);
    }
  }

  private void refuse(HttpServerRequest request, String requestId, Refusal refusal) {
    boolean unread =
        refusal.kind() == RefusalKind.BODY_TOO_LARGE
            || refusal.kind() == RefusalKind.REQUEST_INCOMPLETE
            || refusal.kind() == RefusalKind.UNKNOWN_KEY;
    if (unread) {
      CallerResponse.refuseAndClose(request, requestId, refusal);
      return;
    }
    CallerResponse.refuse(request.response(), requestId, refusal);
  }
}
