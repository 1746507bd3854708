// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.ArrayList;
import java.util.List;
import org.fawndrum.coordination.EarliestFirstTokenPlacement;

/** Estimates the length of a prompt in tokens and hashes its leading blocks. */
public final class PromptMeasure {
  /** Assumed number of characters per token. */
  public static final int CHARS_PER_TOKEN = 4;

  private static final int MAX_BLOCKS = 64;
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private PromptMeasure() {}

  /** Returns the estimated length of a text, at least 1 token. */
  public static long tokens(String text) {
    return Math.max(1, (text.length() + CHARS_PER_TOKEN - 1L) / CHARS_PER_TOKEN);
  }

  /**
   * Returns the hashes of the text's block-aligned prefixes, shortest first; covers complete blocks
   * only, up to 64. A 64-bit FNV-1a hash is sufficient: a collision costs time on an engine but
   * never produces a wrong answer.
   */
  public static List<Long> prefixes(String text) {
    List<Long> hashes = new ArrayList<>();
    long hash = FNV_OFFSET_BASIS;
    int blockChars = (int) EarliestFirstTokenPlacement.BLOCK_TOKENS * CHARS_PER_TOKEN;
    int blocks = Math.min(MAX_BLOCKS, text.length() / blockChars);
    for (int block = 0; block < blocks; block++) {
      for (int i = block * blockChars; i < (block + 1) * blockChars; i++) {
        hash = (hash ^ text.charAt(i)) * FNV_PRIME;
      }
      hashes.add(hash);
    }
    return hashes;
  }
}
