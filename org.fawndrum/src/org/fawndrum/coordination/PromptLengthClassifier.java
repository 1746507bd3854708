// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * Learns from arrivals which prompts count as short: those up to the length below which a
 * configured fraction of all requests lies. The weight of old arrivals decays. Confined to one
 * thread.
 */
public final class PromptLengthClassifier {
  private static final int BUCKETS = 32;
  private static final double DECAY = 0.999;
  private static final int CLASS_FACTOR = 4;
  private static final int MAX_CLASSES = 12;
  private static final long INITIAL_BOUNDARY = 8_192;
  private static final double MIN_SAMPLES = 50;

  private final double shortFraction;
  private final double[] counts = new double[BUCKETS];
  private double total;
  private long boundary = INITIAL_BOUNDARY;

  /**
   * Creates a classifier without samples.
   *
   * @param shortFraction the fraction of all requests that counts as short, 0 to 1
   */
  public PromptLengthClassifier(double shortFraction) {
    this.shortFraction = shortFraction;
  }

  /** Adds an arrival. */
  public void addSample(long promptTokens) {
    for (int i = 0; i < BUCKETS; i++) {
      counts[i] *= DECAY;
    }
    total = total * DECAY + 1;
    counts[bucket(promptTokens)] += 1;
    if (total >= MIN_SAMPLES) {
      boundary = quantile();
    }
  }

  private static int bucket(long tokens) {
    return Math.min(BUCKETS - 1, Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, tokens - 1)));
  }

  private long quantile() {
    double sum = 0;
    for (int i = 0; i < BUCKETS; i++) {
      sum += counts[i];
      if (sum >= shortFraction * total) {
        return 1L << i;
      }
    }
    return Long.MAX_VALUE;
  }

  /** Returns the maximum length of a short prompt, in tokens. */
  public long boundary() {
    return boundary;
  }

  /**
   * Returns the length class: 0 for short prompts, then one more for each factor of four above the
   * boundary.
   */
  public int lengthClass(long promptTokens) {
    int above = 0;
    for (long end = boundary; end < promptTokens && above < MAX_CLASSES; end *= CLASS_FACTOR) {
      above++;
    }
    return above;
  }

  /** Whether a prompt counts as short. */
  public boolean isShort(long promptTokens) {
    return promptTokens <= boundary;
  }
}
