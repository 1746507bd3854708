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
import org.fawndrum.transport.proxy.EndpointAnswer;

/**
 * One streaming call of an engine, confined to one event loop. Passes each event of the stream and
 * the outcome of the call to its listener. The listener is not called after the call is closed.
 */
final class EngineStream {
  private static final String DATA = "data: ";
  private static final int HTTP_OK = 200;
  private static final int HTTP_UNAVAILABLE = 503;

  /** Maximum length of an event, and of all that is no event between two of them, in bytes. */
  private static final int MAX_LINE_LENGTH = 1 << 20;

  private final Vertx vertx;
  private final HttpClientAgent client;
  private final Listener listener;
  private final long silenceMs;
  private HttpClientRequest request;
  private HttpClientResponse response;
  private long silenceTimer = -1;
  private int skippedBytes;
  private boolean requestSent;
  private boolean closed;

  /** Receives the events and the outcome of a stream. */
  interface Listener {
    /** Called for each event of the stream, which may name another attempt. */
    void event(StreamEvent event);

    /** Called when the endpoint responds that it did not and will not run the request. */
    void notRun();

    /**
     * Called when the call failed before the end marker of the stream.
     *
     * @param mayHaveBeenSent whether any part of the request may have been sent
     */
    void failed(boolean mayHaveBeenSent);
  }

  EngineStream(Vertx vertx, HttpClientAgent client, long silenceMs, Listener listener) {
    this.vertx = vertx;
    this.client = client;
    this.silenceMs = silenceMs;
    this.listener = listener;
  }

  /** Sends the call. Must be called on the event loop of this stream. */
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
                        fail();
                      }
                    }));
  }

  private void send(HttpClientRequest connected, StreamOrder order) {
    if (closed) {
      connected.reset();
      return;
    }
    request = connected;
    requestSent = true;
    restartSilenceTimer();
    request
        .putHeader("content-type", "application/json")
        .send(Buffer.buffer(Json.write(order)))
        .onSuccess(this::handleResponse)
        .onFailure(cause -> fail());
  }

  private void handleResponse(HttpClientResponse answer) {
    if (closed) {
      return;
    }
    response = answer;
    restartSilenceTimer();
    if (EndpointAnswer.of(answer).isJoined()) {
      // Its status is that of an answer that was broken off.
      fail();
      return;
    }
    if (answer.statusCode() == HTTP_UNAVAILABLE) {
      end();
      listener.notRun();
      return;
    }
    if (answer.statusCode() != HTTP_OK) {
      fail();
      return;
    }
    RecordParser lines = RecordParser.newDelimited("\n", answer);
    lines.maxRecordSize(MAX_LINE_LENGTH);
    lines.exceptionHandler(cause -> fail());
    lines.endHandler(v -> fail());
    lines.handler(this::handleLine);
  }

  private void handleLine(Buffer line) {
    if (closed) {
      return;
    }
    restartSilenceTimer();
    String text = line.toString();
    if (!text.startsWith(DATA)) {
      skip(line);
      return;
    }
    skippedBytes = 0;
    try {
      listener.event(Json.read(text.substring(DATA.length()), StreamEvent.class));
    } catch (IOException e) {
      fail();
    }
  }

  /** Passes over a line that is no event, as engines send to show that they run. */
  private void skip(Buffer line) {
    skippedBytes += line.length() + 1;
    if (skippedBytes > MAX_LINE_LENGTH) {
      fail();
    }
  }

  private void restartSilenceTimer() {
    vertx.cancelTimer(silenceTimer);
    silenceTimer = vertx.setTimer(silenceMs, id -> fail());
  }

  private void fail() {
    if (!closed) {
      boolean mayHaveBeenSent = requestSent;
      close();
      listener.failed(mayHaveBeenSent);
    }
  }

  /** Pauses reading, for backpressure from a slow caller; the silence timer stops. */
  void pause() {
    if (response != null && !closed) {
      vertx.cancelTimer(silenceTimer);
      response.pause();
    }
  }

  /** Resumes reading after {@link #pause}. */
  void resume() {
    if (response != null && !closed) {
      restartSilenceTimer();
      response.resume();
    }
  }

  /** Returns whether any part of the request may have been sent. */
  boolean requestSent() {
    return requestSent;
  }

  /** Completes the call after the end marker; the connection can be reused. */
  void end() {
    closed = true;
    vertx.cancelTimer(silenceTimer);
  }

  /** Aborts the call and resets its connection. */
  void close() {
    end();
    if (request != null) {
      request.reset();
    }
  }
}
