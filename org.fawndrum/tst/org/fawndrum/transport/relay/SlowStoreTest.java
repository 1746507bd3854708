// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.errors.PlatformUnavailableException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.KeyedLog;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.StorePosition;
import org.junit.jupiter.api.Test;

/**
 * All hosts of a site asked the store at the same time, which therefore took longer for each answer
 * than they waited for one. Each gave up and asked again, the store worked for answers that nobody
 * awaited, and no host knew a configuration until the end. In simulated time.
 */
class SlowStoreTest {
  private static final RelayBounds BOUNDS =
      new RelayBounds(true, 5_000, 2_000, 2_000, 8_000, 0.2, 100, 10_000, 120);

  private static final long OBSERVED_MS = 60_000;

  private final SimulatedTime time = new SimulatedTime();
  private final List<Long> confirmed = new ArrayList<>();
  private long answersAfterMs;
  private int calls;

  /** A store that answers after a time, as far as its client still awaits it. */
  private final class SlowLog implements KeyedLog {
    @Override
    public CompletableFuture<KeyedPage> newest(Topic topic, Call call) {
      return answer(0, call);
    }

    @Override
    public CompletableFuture<KeyedPage> read(Topic topic, long from, long waitMs, Call call) {
      return answer(waitMs, call);
    }

    private CompletableFuture<KeyedPage> answer(long waitMs, Call call) {
      calls++;
      CompletableFuture<KeyedPage> page = new CompletableFuture<>();
      time.runAfter(waitMs + answersAfterMs, () -> page.complete(new KeyedPage(List.of(), 3)));
      time.runAfter(
          waitMs + call.answerMs(),
          () ->
              page.completeExceptionally(
                  new PlatformUnavailableException("read", new IOException("late"))));
      return page;
    }
  }

  /** Notes what the answers confirm. */
  private final class Reader implements TopicFollower.Reader {
    @Override
    public StorePosition knownEnd() {
      return StorePosition.NONE;
    }

    @Override
    public void storeAvailable() {}

    @Override
    public void applySnapshot(KeyedPage page, long queriedMs) {
      confirmed.add(queriedMs);
    }

    @Override
    public void applyChanges(KeyedPage page, long confirmedMs) {
      confirmed.add(confirmedMs);
    }
  }

  private void follow() {
    new TopicFollower(
            time,
            new SlowLog(),
            KeyedLog.Topic.OPERATORS,
            () -> new StoreTimes(BOUNDS).configurationTiming(),
            () -> 0,
            new Reader(),
            time,
            new HostLog("test"))
        .start();
    time.elapse(OBSERVED_MS);
  }

  @Test
  void lateAnswersOfABusyStoreCount() {
    answersAfterMs = 3_000;
    follow();
    assertTrue(confirmed.size() >= OBSERVED_MS / 6_000, confirmed.size() + " confirmations");
    long lastMs = confirmed.get(confirmed.size() - 1);
    long ageMs = time.nowMs() - lastMs;
    assertTrue(ageMs <= 2 * answersAfterMs, ageMs + " ms old");
  }

  /** Two calls for each time that passes without an answer, and a pause of 0.7 s between them. */
  @Test
  void aSilentStoreIsNotAskedMoreOften() {
    answersAfterMs = Long.MAX_VALUE / 4;
    follow();
    assertEquals(List.of(), confirmed);
    assertTrue(calls <= OBSERVED_MS / 1_000, calls + " calls");
  }
}
