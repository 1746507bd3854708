// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.PlatformMessages.Appended;
import org.fawndrum.state.HostAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A platform that answers twice, the second time late: its answers carry no id. */
class SecondAnswerOfPlatformTest {
  private static final long TIMEOUT_S = 20;

  private final Vertx vertx = Vertx.vertx();
  private StutteringServer platform;

  @BeforeEach
  void start() throws Exception {
    platform = new StutteringServer();
  }

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
    platform.close();
  }

  /** Daemons took a record for appended that was not, and believed that it has an older offset. */
  @Test
  void aSecondAnswerToAnAppendIsNotThatToTheNextOne() throws Exception {
    HttpPlatform client = new HttpPlatform(vertx, new HostAddress("127.0.0.1", platform.port()), 0);
    platform.setAnswer(StutteringServer.answer("200 OK", Json.write(new Appended(7))));
    assertEquals(7, client.append(new byte[] {1}).get(TIMEOUT_S, TimeUnit.SECONDS));
    Thread.sleep(StutteringServer.BETWEEN_MS);
    platform.setAnswer(StutteringServer.answer("503 Service Unavailable", ""));
    assertThrows(
        ExecutionException.class,
        () -> client.append(new byte[] {2}).get(TIMEOUT_S, TimeUnit.SECONDS));
  }
}
