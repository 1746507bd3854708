// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Which changes of the machine's clocks are counted as a suspension. */
class SuspendAwareClockTest {
  private static final long MIDNIGHT_MS = 1_764_720_000_000L;
  private static final long NANOS = 1_000_000;

  private final List<Long> suspensions = new ArrayList<>();
  private long steadyMs = 50_000;
  private long wallMs = MIDNIGHT_MS;
  private long bootMs = 90_000;
  private boolean bootTimeAvailable = true;

  private final ClockSources sources =
      new ClockSources() {
        @Override
        public long steadyNanos() {
          return steadyMs * NANOS;
        }

        @Override
        public long wallMs() {
          return wallMs;
        }

        @Override
        public OptionalLong bootMs() {
          return bootTimeAvailable ? OptionalLong.of(bootMs) : OptionalLong.empty();
        }
      };

  private final HostClock clock = new SuspendAwareClock(sources, suspensions::add);

  /** Advances all clocks. */
  private void advance(long ms) {
    steadyMs += ms;
    suspend(ms);
  }

  private void suspend(long ms) {
    wallMs += ms;
    bootMs += ms;
  }

  private void assertClock(long sinceMidnightMs) {
    assertEquals(MIDNIGHT_MS + sinceMidnightMs, clock.nowMs());
  }

  @Test
  void clockFollowsElapsedTime() {
    for (int i = 1; i <= 100; i++) {
      advance(40);
      assertClock(40L * i);
    }
    assertTrue(suspensions.isEmpty());
  }

  @Test
  void suspensionIsCounted() {
    advance(1_500);
    suspend(4_000);
    assertClock(5_500);
    advance(10);
    assertClock(5_510);
    suspend(700);
    assertClock(6_210);
    assertEquals(List.of(4_000L, 700L), suspensions);
  }

  @Test
  void wallClockJumpIsNotCounted() {
    advance(100);
    wallMs += 7_000;
    assertClock(100);
    advance(50);
    wallMs -= 12_000;
    assertClock(150);
    wallMs += 5_000;
    assertClock(150);
    suspend(3_000);
    assertClock(3_150);
    assertEquals(List.of(3_000L), suspensions);
  }

  @Test
  void bootTimeAtAnotherRateIsNotCounted() {
    for (int i = 1; i <= 200; i++) {
      advance(50);
      bootMs += 40;
      assertClock(50L * i);
    }
    assertTrue(suspensions.isEmpty());
  }

  @Test
  void noSuspensionIsDetectedWithoutBootTime() {
    bootTimeAvailable = false;
    advance(100);
    suspend(4_000);
    assertClock(100);
    assertTrue(suspensions.isEmpty());
  }

  @Test
  void wallClockSetBackAtResumeDoesNotHideLongSuspension() {
    advance(100);
    suspend(10_000);
    wallMs -= 3_000;
    assertClock(10_100);
  }

  @Test
  void systemClockNeverRunsBackwards() {
    HostClock real = new SuspendAwareClock(ClockSources.system(), suspensions::add);
    long before = real.nowMs();
    assertTrue(real.nowMs() >= before);
    assertTrue(ClockSources.system().bootMs().isPresent() || suspensions.isEmpty());
  }
}
