// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * Learns which prompts are short in the present mix: those up to the length below which lies a set
 * part of all requests. Old arrivals fade. Confined to one thread.
 */
public final class LengthMix {
  private static final int BUCKETS = 32;
  private static final double KEEP = 0.999;
  private static final int CLASS_FACTOR = 4;
  private static final int MOST_CLASSES = 12;
  private static final long FIRST_BOUNDARY = 8_192;
  private static final double ENOUGH = 50;

  private final double shortPart;
  private final double[] seen = new double[BUCKETS];
  private double total;
  private long boundary = FIRST_BOUNDARY;

  /**
   * Makes an empty mix.
   *
   * @param shortPart the part of all requests that counts as short, 0 to 1
   */
  public LengthMix(double shortPart) {
    this.shortPart = shortPart;
  }

  /** Counts an arrival. */
  public void arrived(long promptTokens) {
    for (int i = 0; i < BUCKETS; i++) {
      seen[i] *= KEEP;
    }
    total = total * KEEP + 1;
    seen[bucket(promptTokens)] += 1;
    if (total >= ENOUGH) {
      boundary = quantile();
    }
  }

  private static int bucket(long tokens) {
    return Math.min(BUCKETS - 1, Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, tokens - 1)));
  }

  private long quantile() {
    double sum = 0;
    for (int i = 0; i < BUCKETS; i++) {
      sum += seen[i];
      if (sum >= shortPart * total) {
        return 1L << i;
      }
    }
    return Long.MAX_VALUE;
  }

  /** Returns the longest prompt that counts as short, in tokens. */
  public long boundary() {
    return boundary;
  }

  /**
   * Returns the class of a length: 0 for short prompts, then one more for each factor of four above
   * the boundary.
   */
  public int lengthClass(long promptTokens) {
    int above = 0;
    for (long end = boundary; end < promptTokens && above < MOST_CLASSES; end *= CLASS_FACTOR) {
      above++;
    }
    return above;
  }

  /** Tells whether a prompt counts as short. */
  public boolean isShort(long promptTokens) {
    return promptTokens <= boundary;
  }
}
