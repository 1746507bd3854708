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

/**
 * HTTP server for callers: reads and authenticates requests and passes them to an {@link Intake}.
 */
final class CallerServer {
  /** The path of model requests. */
  static final String CHAT_PATH = "/v1/chat/completions";

  /** Maximum idle time of a connection between two requests, in milliseconds. */
  private static final long KEEP_ALIVE_MS = 60_000;

  private final Vertx vertx;
  private final HttpServer server;
  private final BodyReader bodyReader;
  private final Keyring<CallerKey> keys;
  private final RequestIds ids;
  private final Intake intake;
  private final IdleConnections idleConnections;
  private final TrustedConnections trustedConnections;

  /** Accepts complete requests of authenticated callers. */
  interface Intake {
    /**
     * Accepts a chat request.
     *
     * @throws RefusedException if the request is invalid or cannot be admitted
     */
    void chat(Call call);

    /**
     * Accepts a call of a plain service.
     *
     * @throws RefusedException if no route matches or it cannot be admitted
     */
    void plain(Call call);
  }

  /**
   * A complete request of an authenticated caller.
   *
   * @param trusted whether its connection was opened after this host was registered; only then does
   *     a retry count of 0 prove that no other copy was sent through another host before
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
    this.bodyReader =
        new BodyReader(vertx, settings.limits().bodyBytes(), settings.limits().incompleteMs());
    this.keys = new Keyring<>(settings.callerKeys(), CallerKey::key);
    this.trustedConnections = new TrustedConnections(vertx);
    this.idleConnections =
        new IdleConnections(vertx, () -> settings.limits().incompleteMs(), () -> KEEP_ALIVE_MS);
    this.server =
        vertx
            .createHttpServer(ServerOptions.of(settings.callers(), settings.limits().headerBytes()))
            .requestHandler(this::handle)
            .invalidRequestHandler(this::invalid)
            .connectionHandler(this::connectionOpened);
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

  /** Called once this host is registered: connections opened later are trusted. */
  void registered() {
    trustedConnections.registered();
  }

  private void connectionOpened(HttpConnection connection) {
    trustedConnections.opened(connection);
    idleConnections.opened(connection);
    connection.closeHandler(
        v -> {
          trustedConnections.closed(connection);
          idleConnections.closed(connection);
        });
  }

  private void invalid(HttpServerRequest request) {
    RefusalKind kind = MalformedRequestHead.refusalKind(request);
    CallerResponse.refuseAndClose(request, ids.next(), Refusal.notRun(kind));
  }

  private void handle(HttpServerRequest request) {
    idleConnections.requestStarted(request.connection());
    request.response().endHandler(v -> idleConnections.requestCompleted(request.connection()));
    String requestId = ids.next();
    if (MalformedRequestHead.hasNamelessField(request)) {
      CallerResponse.refuseAndClose(
          request, requestId, Refusal.notRun(RefusalKind.INVALID_REQUEST));
      return;
    }
    Optional<CallerKey> key = keys.owner(request.getHeader("authorization"));
    if (key.isEmpty()) {
      refuse(request, requestId, Refusal.notRun(RefusalKind.UNKNOWN_KEY));
      return;
    }
    bodyReader
        .read(request, requestId)
        .thenAccept(
            body ->
                dispatch(
                    new Call(
                        requestId,
                        key.get().group(),
                        request,
                        request.response(),
                        body,
                        trustedConnections.trusted(request.connection()))))
        .exceptionally(
            failure -> {
              refuse(request, requestId, RefusedException.refusalOf(failure));
              return null;
            });
  }

  private void dispatch(Call call) {
    boolean chat = CHAT_PATH.equals(call.request().path());
    if (chat && call.request().method() == HttpMethod.POST) {
      intake.chat(call);
    } else {
      intake.plain(call);
    }
  }

  private void refuse(HttpServerRequest request, String requestId, Refusal refusal) {
    boolean bodyUnread =
        refusal.kind() == RefusalKind.BODY_TOO_LARGE
            || refusal.kind() == RefusalKind.REQUEST_INCOMPLETE
            || refusal.kind() == RefusalKind.UNKNOWN_KEY;
    if (bodyUnread) {
      CallerResponse.refuseAndClose(request, requestId, refusal);
      return;
    }
    CallerResponse.refuse(request.response(), requestId, refusal);
  }
}
