// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;

/** The clocks of the operating system. Safe for all threads. */
public interface ClockSources {
  /** Returns the monotonic clock in nanoseconds, which stops while the machine is suspended. */
  long steadyNanos();

  /** Returns the wall clock as a Unix time in milliseconds; it may jump in both directions. */
  long wallMs();

  /**
   * Returns the time since boot in milliseconds, including suspended time, or empty when the
   * operating system does not provide it.
   */
  OptionalLong bootMs();

  /** Returns the clocks of the machine that runs this process. */
  static ClockSources system() {
    return new ClockSources() {
      @Override
      public long steadyNanos() {
        return System.nanoTime();
      }

      @Override
      public long wallMs() {
        return System.currentTimeMillis();
      }

      @Override
      public OptionalLong bootMs() {
        return uptimeMs();
      }
    };
  }

  private static OptionalLong uptimeMs() {
    try {
      // Seconds with two decimals, followed by the idle time.
      String text = Files.readString(Path.of("/proc/uptime"));
      return OptionalLong.of(Math.round(Double.parseDouble(text.split(" ")[0]) * 1000));
    } catch (IOException | NumberFormatException e) {
      // Suspensions are not detected on machines without this file.
      return OptionalLong.empty();
    }
  }
}
