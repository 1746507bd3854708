// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fawndrum.coordination.LoadReport;

/**
 * Compact encoding of endpoint loads in heartbeats, six bytes per endpoint: a three-byte name hash,
 * two four-bit backlog levels that double from one level to the next, and one byte each for free
 * memory and throughput. A daemon sends the loads of the endpoints that it watches to the other
 * daemons of its zone.
 */
public final class LoadDigest {
  /** Size of one entry, in bytes. */
  public static final int ENTRY_BYTES = 6;

  private static final int NAME_MASK = 0xffffff;
  private static final int NIBBLE_BITS = 4;
  private static final int MAX_LEVEL = 15;
  private static final int MAX_BYTE = 255;
  private static final long FIRST_LEVEL_TOKENS = 1_024;
  private static final long THROUGHPUT_UNIT = 1_024;
  private static final int HIGH_PRIORITY = 5;
  private static final int SHORT_BITS = 16;
  private static final int BYTE_MASK = 0xff;

  private LoadDigest() {}

  /** Load of one endpoint as reported by a peer; the endpoint is identified by its name hash. */
  public record Entry(int nameHash, LoadReport load, double freeFraction) {}

  /** Returns the 24-bit hash of an endpoint's name; a collision only costs time. */
  public static int nameHash(String endpoint) {
    int hash = endpoint.hashCode() * 0x9e3779b9;
    return hash >>> 8 & NAME_MASK;
  }

  /**
   * Encodes loads.
   *
   * @param loads the loads by endpoint name
   * @param memory the memory of the endpoints in tokens, by name
   */
  public static byte[] write(Map<String, LoadReport> loads, Map<String, Long> memory) {
    ByteBuffer bytes = ByteBuffer.allocate(loads.size() * ENTRY_BYTES);
    loads.forEach(
        (name, load) -> {
          int hash = nameHash(name);
          bytes.put((byte) (hash >>> SHORT_BITS)).putShort((short) hash);
          int high = level(load.backlogFrom(HIGH_PRIORITY));
          bytes.put((byte) (high << NIBBLE_BITS | level(load.backlogFrom(0))));
          long memoryTokens = Math.max(1, memory.getOrDefault(name, 1L));
          bytes.put((byte) clampToByte(load.freeTokens() * MAX_BYTE / memoryTokens));
          bytes.put((byte) clampToByte(load.tokensPerSecond() / THROUGHPUT_UNIT));
        });
    return bytes.array();
  }

  private static long clampToByte(long value) {
    return Math.max(0, Math.min(MAX_BYTE, value));
  }

  private static int level(long tokens) {
    int level = 0;
    for (long end = 0; tokens > end && level < MAX_LEVEL; end = tokens(level)) {
      level++;
    }
    return level;
  }

  private static long tokens(int level) {
    return level == 0 ? 0 : FIRST_LEVEL_TOKENS << level - 1;
  }

  /** Decodes loads; ignores a truncated last entry. */
  public static List<Entry> read(byte[] digest) {
    List<Entry> entries = new ArrayList<>();
    ByteBuffer bytes = ByteBuffer.wrap(digest);
    while (bytes.remaining() >= ENTRY_BYTES) {
      int name = (bytes.get() & BYTE_MASK) << SHORT_BITS | bytes.getShort() & 0xffff;
      int levels = bytes.get() & BYTE_MASK;
      double freeFraction = (bytes.get() & BYTE_MASK) / (double) MAX_BYTE;
      long throughput = (bytes.get() & BYTE_MASK) * THROUGHPUT_UNIT;
      long high = tokens(levels >>> NIBBLE_BITS);
      long total = Math.max(high, tokens(levels & MAX_LEVEL));
      long[] backlog = new long[LoadReport.PRIORITIES];
      backlog[HIGH_PRIORITY] = high;
      backlog[0] = total - high;
      entries.add(new Entry(name, new LoadReport(0, backlog, 0, 0, throughput), freeFraction));
    }
    return entries;
  }
}
