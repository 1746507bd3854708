// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.fawndrum.coordination.LoadReport;

/** A digest preserves loads within its resolution, and decoding accepts any bytes. */
class LoadDigestTest {
  @Property(tries = 1_000, seed = "91")
  void loadRoundTripsWithinTheResolution(
      @ForAll @LongRange(max = 5_000_000) long high,
      @ForAll @LongRange(max = 5_000_000) long low,
      @ForAll @LongRange(max = 400_000) long free) {
    long[] backlog = new long[LoadReport.PRIORITIES];
    backlog[9] = high;
    backlog[1] = low;
    LoadReport load = new LoadReport(1, backlog, free, 3, 40_960);
    byte[] bytes = LoadDigest.write(Map.of("engine-7", load), Map.of("engine-7", 400_000L));
    assertEquals(LoadDigest.ENTRY_BYTES, bytes.length);
    LoadDigest.Entry read = LoadDigest.read(bytes).get(0);
    assertEquals(LoadDigest.nameHash("engine-7"), read.nameHash());
    assertTrue(
        read.load().backlogFrom(5) >= high && read.load().backlogFrom(5) <= 2 * high + 1_024);
    long total = high + low;
    assertTrue(
        read.load().backlogFrom(0) >= total && read.load().backlogFrom(0) <= 2 * total + 1_024);
    assertTrue(Math.abs(read.freeFraction() * 400_000 - free) <= 400_000 / 255.0 + 1);
    assertEquals(40_960, read.load().tokensPerSecond());
  }

  @Property(tries = 1_000, seed = "92")
  void anyBytesAreDecoded(@ForAll byte[] bytes) {
    assertEquals(bytes.length / LoadDigest.ENTRY_BYTES, LoadDigest.read(bytes).size());
  }
}
