// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import org.fawndrum.protocol.EngineMessages.StreamEvent;
import org.fawndrum.protocol.EngineMessages.StreamOrder;
import org.fawndrum.protocol.Json;
import org.fawndrum.state.HostAddress;

/**
 * One call of an engine's stream, on one event loop. Tells its listener every event of the stream
 * and how the call ended. A call that was closed tells nothing more.
 */
final class EngineStream {
  private static final String DATA = "data: ";
  private static final int HTTP_OK = 200;
  private static final int HTTP_UNAVAILABLE = 503;
  private static final int LONGEST_LINE = 1 << 20;

  private final Vertx vertx;
  private final HttpClientAgent client;
  private final Listener listener;
  private final long silenceMs;
  private HttpClientRequest request;
  private HttpClientResponse response;
  private long silenceTimer = -1;
  private boolean handedOver;
  private boolean closed;

  /** Is told what a stream does. */
  interface Listener {
    /** Takes an event of the stream, which may name another attempt. */
    void event(StreamEvent event);

    /** The endpoint says that it did not and will not run the request. */
    void notRun();

    /**
     * The call ended before its end mark.
     *
     * @param sent whether anything may have left this host
     */
    void lost(boolean sent);
  }

  EngineStream(Vertx vertx, HttpClientAgent client, long silenceMs, Listener listener) {
    this.vertx = vertx;
    this.client = client;
    this.silenceMs = silenceMs;
    this.listener = listener;
  }

  /** Starts the call; the caller is on its event loop. */
  void start(HostAddress address, StreamOrder order) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(address.ip())
            .setPort(address.port())
            .setURI("/v1/streams");
    Context context = vertx.getOrCreateContext();
    client
        .request(options)
        .onComplete(
            connected ->
                context.runOnContext(
                    v -> {
                      if (connected.succeeded()) {
                        send(connected.result(), order);
                      } else {
                        lost();
                      }
                    }));
  }

  private void send(HttpClientRequest connected, StreamOrder order) {
    if (closed) {
      connected.reset();
      return;
    }
    request = connected;
    handedOver = true;
    heard();
    request
        .putHeader("content-type", "application/json")
        .send(Buffer.buffer(Json.write(order)))
        .onSuccess(this::answered)
        .onFailure(cause -> lost());
  }

  private void answered(HttpClientResponse answer) {
    if (closed) {
      return;
    }
    response = answer;
    heard();
    if (answer.statusCode() == HTTP_UNAVAILABLE) {
      end();
      listener.notRun();
      return;
    }
    if (answer.statusCode() != HTTP_OK) {
      lost();
      return;
    }
    RecordParser lines = RecordParser.newDelimited("\n", answer);
    lines.maxRecordSize(LONGEST_LINE);
    lines.exceptionHandler(cause -> lost());
    lines.endHandler(v -> lost());
    lines.handler(this::line);
  }

  private void line(Buffer line) {
    if (closed) {
      return;
    }
    heard();
    String text = line.toString();
    if (!text.startsWith(DATA)) {
      return;
    }
    try {
      listener.event(Json.read(text.substring(DATA.length()), StreamEvent.class));
    } catch (IOException e) {
      lost();
    }
  }

  private void heard() {
    vertx.cancelTimer(silenceTimer);
    silenceTimer = vertx.setTimer(silenceMs, id -> lost());
  }

  private void lost() {
    if (!closed) {
      boolean sent = handedOver;
      close();
      listener.lost(sent);
    }
  }

  /** Stops reading for a while, because the caller reads too slowly. */
  void pause() {
    if (response != null && !closed) {
      vertx.cancelTimer(silenceTimer);
      response.pause();
    }
  }

  /** Reads on after {@link #pause}. */
  void resume() {
    if (response != null && !closed) {
      heard();
      response.resume();
    }
  }

  /** Tells whether anything may have left this host. */
  boolean handedOver() {
    return handedOver;
  }

  /** Ends the call after its end mark; the connection can be used again. */
  void end() {
    closed = true;
    vertx.cancelTimer(silenceTimer);
  }

  /** Ends the call before its end mark; nothing more is told. */
  void close() {
    end();
    if (request != null) {
      request.reset();
    }
  }
}
