// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fawndrum.coordination.LoadReport;

/**
 * The load of many endpoints in six bytes each, for heartbeats: three bytes name the endpoint, then
 * backlogs in steps of a factor of two, free memory and speed in 255 steps. A daemon tells the
 * others of its zone the load of those endpoints that it watches.
 */
public final class LoadDigest {
  /** Bytes of one endpoint. */
  public static final int ENTRY_BYTES = 6;

  private static final int NAME_MASK = 0xffffff;
  private static final int NIBBLE = 4;
  private static final int LEVELS = 15;
  private static final int STEPS = 255;
  private static final long FIRST_LEVEL_TOKENS = 1_024;
  private static final long SPEED_STEP = 1_024;
  private static final int HIGH_PRIORITY = 5;
  private static final int SHORT_BITS = 16;
  private static final int BYTE_MASK = 0xff;

  private LoadDigest() {}

  /** One endpoint's load as told by a peer; the name is {@link #nameHash}. */
  public record Entry(int nameHash, LoadReport load, double freePart) {}

  /** Returns the three bytes that name an endpoint; two names may share them, which costs time. */
  public static int nameHash(String endpoint) {
    int hash = endpoint.hashCode() * 0x9e3779b9;
    return hash >>> 8 & NAME_MASK;
  }

  /**
   * Writes loads.
   *
   * @param loads by the endpoint's name
   * @param memory the endpoints' memory in tokens, by name
   */
  public static byte[] write(Map<String, LoadReport> loads, Map<String, Long> memory) {
    ByteBuffer bytes = ByteBuffer.allocate(loads.size() * ENTRY_BYTES);
    loads.forEach(
        (name, load) -> {
          int hash = nameHash(name);
          bytes.put((byte) (hash >>> SHORT_BITS)).putShort((short) hash);
          int high = level(load.backlogFrom(HIGH_PRIORITY));
          bytes.put((byte) (high << NIBBLE | level(load.backlogFrom(0))));
          long all = Math.max(1, memory.getOrDefault(name, 1L));
          bytes.put((byte) clip(load.freeTokens() * STEPS / all));
          bytes.put((byte) clip(load.tokensPerSecond() / SPEED_STEP));
        });
    return bytes.array();
  }

  private static long clip(long value) {
    return Math.max(0, Math.min(STEPS, value));
  }

  private static int level(long tokens) {
    int level = 0;
    for (long end = 0; tokens > end && level < LEVELS; end = tokens(level)) {
      level++;
    }
    return level;
  }

  private static long tokens(int level) {
    return level == 0 ? 0 : FIRST_LEVEL_TOKENS << level - 1;
  }

  /** Reads loads; a cut last entry is left out. */
  public static List<Entry> read(byte[] digest) {
    List<Entry> entries = new ArrayList<>();
    ByteBuffer bytes = ByteBuffer.wrap(digest);
    while (bytes.remaining() >= ENTRY_BYTES) {
      int name = (bytes.get() & BYTE_MASK) << SHORT_BITS | bytes.getShort() & 0xffff;
      int levels = bytes.get() & BYTE_MASK;
      double freePart = (bytes.get() & BYTE_MASK) / (double) STEPS;
      long speed = (bytes.get() & BYTE_MASK) * SPEED_STEP;
      long high = tokens(levels >>> NIBBLE);
      long all = Math.max(high, tokens(levels & LEVELS));
      long[] backlog = new long[LoadReport.PRIORITIES];
      backlog[HIGH_PRIORITY] = high;
      backlog[0] = all - high;
      entries.add(new Entry(name, new LoadReport(0, backlog, 0, 0, speed), freePart));
    }
    return entries;
  }
}
