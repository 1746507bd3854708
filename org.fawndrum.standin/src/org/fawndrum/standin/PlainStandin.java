// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.standin;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of a plain service. Runs any request and counts the runs per key. The key is the
 * Idempotency-Key header, or the path with its query if there is none. Confined to one event loop.
 */
public final class PlainStandin extends JsonStandin {
  private static final int UNAVAILABLE = 503;

  private final Vertx vertx;
  private final String name;
  private final Map<String, Integer> runs = new TreeMap<>();
  private Faults faults = new Faults(false, false, 0);

  /**
   * The active faults of the service.
   *
   * @param refuse refuse requests without running them
   * @param cutAfterRun run the request and close the connection without an answer
   * @param slowMs duration of a run, in milliseconds
   */
  public record Faults(boolean refuse, boolean cutAfterRun, long slowMs) {}

  /** The number of runs of each key. */
  public record Runs(Map<String, Integer> runs) {}

  /** The answer of a run. */
  public record Answer(String service, String path, int run) {}

  /** Creates a service that is not started; port 0 selects a free port. */
  public PlainStandin(Vertx vertx, String ip, int port, String name) {
    super(vertx, ip, port);
    this.vertx = vertx;
    this.name = name;
    server
        .on(
            "GET /runs",
            (request, body) -> JsonServer.answer(request.response(), new Runs(new TreeMap<>(runs))))
        .on("POST /faults", Faults.class, this::faults)
        .fallback(this::run);
  }

  private void faults(HttpServerRequest request, Faults newFaults) {
    faults = newFaults;
    JsonServer.answer(request.response(), newFaults);
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
