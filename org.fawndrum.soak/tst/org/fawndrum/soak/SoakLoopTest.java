// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * All stand-ins of a large site shared one event loop, so that hosts were judged by engines that
 * got a twentieth of a core.
 */
class SoakLoopTest {
  private static final int LOOPS = 4;

  private final SoakLoop loops = new SoakLoop(LOOPS);

  @AfterEach
  void close() {
    loops.close();
  }

  @Test
  void serversAreSpreadOverAllLoops() throws Exception {
    Set<String> threads = new HashSet<>();
    for (int i = 0; i < LOOPS; i++) {
      threads.add(
          loops
              .callOnNext(() -> Future.succeededFuture(Thread.currentThread().getName()))
              .toCompletionStage()
              .toCompletableFuture()
              .get());
    }
    assertEquals(LOOPS, threads.size());
  }
}
