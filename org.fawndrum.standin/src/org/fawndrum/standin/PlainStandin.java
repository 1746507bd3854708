// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.standin;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import java.util.TreeMap;

/**
 * A plain service's stand-in. It runs any call and counts the runs of each key, where the key is
 * the Idempotency-Key header or else the path with its query. Confined to one event loop.
 */
public final class PlainStandin extends JsonStandin {
  private static final int UNAVAILABLE = 503;

  private final Vertx vertx;
  private final String name;
  private final Map<String, Integer> runs = new TreeMap<>();
  private Faults faults = new Faults(false, false, 0);

  /**
   * Faults of the service.
   *
   * @param refuse answer that the call was not run
   * @param cutAfterRun run the call and close the connection without an answer
   * @param slowMs time that a run takes, in milliseconds
   */
  public record Faults(boolean refuse, boolean cutAfterRun, long slowMs) {}

  /** How often each key was run. */
  public record Runs(Map<String, Integer> runs) {}

  /** What a run answers. */
  public record Answer(String service, String path, int run) {}

  /** Makes a service that has not started; port 0 takes a free one. */
  public PlainStandin(Vertx vertx, String ip, int port, String name) {
    super(vertx, ip, port);
    this.vertx = vertx;
    this.name = name;
    server
        .on(
            "GET /runs",
            (request, body) -> JsonServer.answer(request.response(), new Runs(new TreeMap<>(runs))))
        .on("POST /faults", Faults.class, this::faults)
        .otherwise(this::run);
  }

  private void faults(HttpServerRequest request, Faults wanted) {
    faults = wanted;
    JsonServer.answer(request.response(), wanted);
  }

  private void run(HttpServerRequest request, Buffer body) {
    if (faults.refuse()) {
      request.response().putHeader("x-ran", "no").setStatusCode(UNAVAILABLE).end();
      return;
    }
    String header = request.getHeader("idempotency-key");
    String key = header == null ? request.uri() : header;
    int run = runs.merge(key, 1, Integer::sum);
    if (faults.cutAfterRun()) {
      request.connection().close();
      return;
    }
    Answer answer = new Answer(name, request.path(), run);
    if (faults.slowMs() > 0) {
      vertx.setTimer(faults.slowMs(), id -> JsonServer.answer(request.response(), answer));
    } else {
      JsonServer.answer(request.response(), answer);
    }
  }
}
