// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.fawndrum.coordination.DrainedZones;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.KeyedLog;
import org.fawndrum.protocol.KeyedPage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** When a host that is not its zone's leader reads the store. */
class StoreReaderTest {
  private static final long APPLY_MS = 2_000;

  /** What a host needs to read a configuration, in milliseconds. */
  private static final long READ_MS = 500;

  /** Longer than a host takes to notice that it has to read, in seconds. */
  private static final long MAX_WAIT_S = 20;

  private final Vertx vertx = Vertx.vertx();
  private final BlockingQueue<KeyedLog.Topic> reads = new LinkedBlockingQueue<>();
  private volatile long nowMs = 100_000;

  private final KeyedLog store =
      new KeyedLog() {
        @Override
        public CompletableFuture<KeyedPage> newest(Topic topic, Call call) {
          reads.add(topic);
          return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<KeyedPage> read(Topic topic, long from, long waitMs, Call call) {
          reads.add(topic);
          return new CompletableFuture<>();
        }
      };

  @AfterEach
  void close() {
    vertx.close().await();
  }

  /** A host relied on a leader that had lost the store beyond the time for new configurations. */
  @Test
  void aHostReadsTheConfigurationItselfInTimeForTheBoundOfNewConfigurations() throws Exception {
    ZoneDrainStore drains =
        new ZoneDrainStore(new DrainedZones(), (drained, takenBack, now, by) -> {});
    RouteStore routes = new RouteStore((table, rows) -> {}, drains);
    routes.confirm(nowMs);
    RelayBounds bounds =
        new RelayBounds(true, 60_000, APPLY_MS, 60_000, 8_000, 0.2, 100, 10_000, 120);
    StoreReader reader =
        new StoreReader(
            new VertxTimer(vertx),
            new RelayAdapter(new FixedCodec(), null, store, null),
            routes,
            () -> bounds,
            () -> 0,
            () -> false,
            listing -> {},
            null,
            () -> nowMs,
            new HostLog("test"));
    vertx.getOrCreateContext().runOnContext(v -> reader.start());
    assertEquals(KeyedLog.Topic.ENDPOINTS, reads.poll(MAX_WAIT_S, TimeUnit.SECONDS));
    nowMs += APPLY_MS - READ_MS;
    assertEquals(KeyedLog.Topic.OPERATORS, reads.poll(MAX_WAIT_S, TimeUnit.SECONDS));
  }
}
