// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.Locale;
import org.fawndrum.platform.standin.StandinSite;
import org.fawndrum.state.HostAddress;

/**
 * Callers that read nothing of large answers until the fault ends, and readers of the hosts'
 * metrics meanwhile. Confined to one event loop.
 */
final class UnreadCallers {
  /** Path prefix of streams that are larger than the buffers towards a caller. */
  static final String PATH = "/ask/wide-";

  private static final int CALLERS = 5;
  private static final int BUFFER_BYTES = 8 << 10;

  /** How long they do not read, in milliseconds: longer than hosts bear. */
  private static final long UNREAD_MS = 4_000;

  private static final long METRICS_GAP_MS = 200;

  private final Vertx vertx;
  private final NetClient client;
  private final List<HostAddress> hosts;
  private final HostMetrics metrics;
  private final PromiseChecker checker;
  private int count;

  UnreadCallers(Vertx vertx, List<HostAddress> hosts, HostMetrics metrics, PromiseChecker checker) {
    this.vertx = vertx;
    this.client = vertx.createNetClient(new NetClientOptions().setReceiveBufferSize(BUFFER_BYTES));
    this.hosts = hosts;
    this.metrics = metrics;
    this.checker = checker;
  }

  /** Has callers send requests to a host without reading the answers. */
  void start(int host) {
    for (int i = 0; i < CALLERS; i++) {
      String id = "u-" + ++count;
      String path = PATH + count;
      checker.held().recordUnread();
      checker.recordSent(
          id, new PromiseChecker.SentRequest(path, true, SoakSite.KEY, "", Soak.nowMs()));
      client
          .connect(hosts.get(host).port(), hosts.get(host).ip())
          .onSuccess(socket -> send(socket, id, path));
    }
    long timer =
        vertx.setPeriodic(
            METRICS_GAP_MS,
            id ->
                metrics.read(
                    host,
                    (text, askedMs) ->
                        checker.held().recordMetrics(HostSettings.name(host), text)));
    vertx.setTimer(UNREAD_MS, id -> vertx.cancelTimer(timer));
  }

  private void send(NetSocket socket, String id, String path) {
    socket.pause();
    socket.write(
        Buffer.buffer(
            String.format(
                Locale.ROOT,
                "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Credential: %s\r\n"
                    + "X-Request-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
                path,
                StandinSite.HOST,
                id,
                SoakSite.KEY,
                Callers.DEADLINE_MS)));
    vertx.setTimer(UNREAD_MS, timer -> socket.close());
  }
}
