// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import java.util.function.Supplier;
import org.fawndrum.coordination.crash.RejectedRequest;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.OperatorViews;
import org.fawndrum.state.HostAddress;

/**
 * Serves this host's metrics in the Prometheus text format, and the list of requests that are
 * rejected because endpoints crash while they have them.
 */
final class MetricsServer {
  private static final int INTERNAL_SERVER_ERROR = 500;

  private final Vertx vertx;
  private final HostAddress address;
  private final MetricRegistry registry;
  private final Supplier<List<RejectedRequest>> rejected;
  private final HostLog log;

  MetricsServer(
      Vertx vertx,
      HostAddress address,
      MetricRegistry registry,
      Supplier<List<RejectedRequest>> rejected,
      HostLog log) {
    this.vertx = vertx;
    this.address = address;
    this.registry = registry;
    this.rejected = rejected;
    this.log = log;
  }

  /**
   * Listens. The exposition classes are loaded with the first request, because most hosts receive
   * none.
   */
  Future<HttpServer> listen() {
    return vertx
        .createHttpServer(new HttpServerOptions().setHost(address.ip()).setPort(address.port()))
        .requestHandler(
            request -> {
              if (request.path().equals(OperatorViews.REFUSED_PATH)) {
                request.response().end(Json.write(OperatorViews.refused(rejected.get())));
                return;
              }
              try {
                request
                    .response()
                    .putHeader("content-type", TextFormat.CONTENT_TYPE_004)
                    .end(Exposition.text(registry));
              } catch (IOException e) {
                log.failure(LogEvent.DUTY_FAILED, e, "metrics");
                request.response().setStatusCode(INTERNAL_SERVER_ERROR).end();
              }
            })
        .listen();
  }

  /** Formats the metrics. */
  private static final class Exposition {
    static String text(MetricRegistry registry) throws IOException {
      CollectorRegistry collectors = new CollectorRegistry();
      collectors.register(new DropwizardExports(registry));
      StringWriter text = new StringWriter();
      TextFormat.write004(text, collectors.metricFamilySamples());
      return text.toString();
    }
  }
}
