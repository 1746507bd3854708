// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.PlatformMessages.Appended;
import org.fawndrum.state.HostAddress;
import org.fawndrum.transport.HastyServer.Ending;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A platform that answers a long append before it has read it. */
class EarlyAnswerOfPlatformTest {
  /** Above what the system buffers of a connection. */
  private static final int RECORD_BYTES = 12 << 20;

  private static final long TIMEOUT_S = 20;

  /** What a reset meets, a write or a read, is a matter of chance. */
  private static final int CALLS = 8;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** Daemons took a record for appended whose connection had been reset. */
  @ParameterizedTest
  @EnumSource(names = {"RESET_AT_ONCE", "RESET_UNREAD", "RESET_WITHIN_THE_BODY"})
  void anAppendThatIsResetWithinItsRecordIsNotConfirmed(Ending ending) throws Exception {
    String answer = "HTTP/1.1 200 OK\r\n\r\n" + Json.write(new Appended(7));
    try (HastyServer platform = new HastyServer(answer, ending)) {
      HostAddress address = new HostAddress("127.0.0.1", platform.port());
      HttpPlatform client = new HttpPlatform(vertx, address, 0);
      int confirmed = 0;
      for (int i = 0; i < CALLS; i++) {
        boolean failed =
            client
                .append(new byte[RECORD_BYTES])
                .handle((offset, failure) -> failure != null)
                .get(TIMEOUT_S, TimeUnit.SECONDS);
        confirmed += failed ? 0 : 1;
      }
      assertEquals(0, confirmed, "of " + CALLS + " count as appended");
    }
  }
}
