// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Generates requests from a seed. Prompt lengths are log-uniform from 1,000 to 100,000 tokens, one
 * in fifty is longer. Requests arrive in bursts, one workspace is hot, and some prompts share a
 * prefix.
 */
public final class Workload {
  /** The number of workspaces. */
  public static final int WORKSPACES = 10;

  /** The minimum length of a long prompt, in tokens. */
  public static final long LONG_TOKENS = 100_000;

  private static final double MIN_TOKENS = 1_000;
  private static final double LONG_FRACTION = 0.02;
  private static final double HOT_FRACTION = 0.4;
  private static final double SHARED_FRACTION = 0.3;
  private static final long BURST_EVERY_MS = 20_000;
  private static final long BURST_MS = 2_000;
  private static final double BURST_FACTOR = 2.5;
  private static final int SHARED_BLOCKS = 3;
  private static final double MS_PER_SECOND = 1000.0;
  private static final int SAMPLE_SIZE = 200_000;

  private final Random random;
  private final Parameters parameters;

  /**
   * The parameters of a workload.
   *
   * @param seed the seed; the same seed generates the same workload
   * @param seconds time during which requests arrive, in seconds
   * @param hosts number of entry hosts that receive the requests
   * @param tokensPerSecond average arriving work, in tokens per second
   * @param longestTokens maximum prompt length, in tokens
   */
  public record Parameters(
      long seed, int seconds, int hosts, double tokensPerSecond, double longestTokens) {}

  /** Creates a workload. */
  public Workload(Parameters parameters) {
    this.parameters = parameters;
    this.random = new Random(parameters.seed());
  }

  /** Returns the requests in order of arrival. */
  public List<Arrival> arrivals() {
    double perMs = parameters.tokensPerSecond() / meanWork() / MS_PER_SECOND;
    double burstShare = BURST_MS / (double) BURST_EVERY_MS;
    double calmPerMs = perMs / (1 + (BURST_FACTOR - 1) * burstShare);
    List<Arrival> arrivals = new ArrayList<>();
    double atMs = 0;
    while (true) {
      boolean burst = atMs % BURST_EVERY_MS < BURST_MS;
      double rate = burst ? calmPerMs * BURST_FACTOR : calmPerMs;
      atMs += -Math.log(1 - random.nextDouble()) / rate;
      if (atMs >= parameters.seconds() * MS_PER_SECOND) {
        return arrivals;
      }
      arrivals.add(arrival((long) atMs));
    }
  }

  private double meanWork() {
    Random sample = new Random(parameters.seed() + 1);
    double sum = 0;
    for (int i = 0; i < SAMPLE_SIZE; i++) {
      sum += prompt(sample) + answer(sample);
    }
    return sum / SAMPLE_SIZE;
  }

  private long prompt(Random from) {
    boolean isLong = from.nextDouble() < LONG_FRACTION;
    double low = isLong ? LONG_TOKENS : MIN_TOKENS;
    double high = isLong ? parameters.longestTokens() : LONG_TOKENS;
    return (long) (low * Math.pow(high / low, from.nextDouble()));
  }

  private static long answer(Random from) {
    return (long) (16 * Math.pow(32, from.nextDouble()));
  }

  private Arrival arrival(long atMs) {
    long prompt = prompt(random);
    long answer = answer(random);
    int workspace = random.nextDouble() < HOT_FRACTION ? 0 : 1 + random.nextInt(WORKSPACES - 1);
    boolean shared = random.nextDouble() < SHARED_FRACTION;
    List<Long> prefixes = new ArrayList<>();
    for (long block = 0; block < SHARED_BLOCKS; block++) {
      long hash = shared ? workspace * 1_000L + block : random.nextLong();
      prefixes.add(hash);
    }
    return new Arrival(
        atMs, random.nextInt(parameters.hosts()), workspace, prompt, answer, prefixes);
  }
}
