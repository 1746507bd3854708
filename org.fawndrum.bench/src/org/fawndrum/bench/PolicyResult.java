// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

/** The metrics of one policy on one workload. */
final class PolicyResult {
  /** The upper bounds of the ranges of prompt length, in tokens. */
  static final long[] DECADES = {10_000, 100_000, 1_000_000};

  private final String policy;
  private final List<RequestResult> results;
  private final FleetSettings fleet;
  private final double engineUse;

  PolicyResult(String policy, List<RequestResult> results, FleetSettings fleet, double engineUse) {
    this.policy = policy;
    this.results = List.copyOf(results);
    this.fleet = fleet;
    this.engineUse = engineUse;
  }

  String policy() {
    return policy;
  }

  double engineUse() {
    return engineUse;
  }

  private double unloadedMs(Arrival arrival) {
    long steps =
        (arrival.promptTokens() + fleet.engine().stepTokens() - 1) / fleet.engine().stepTokens();
    return steps * (double) fleet.engine().stepMs();
  }

  private static boolean inDecade(RequestResult result, int decade) {
    long tokens = result.arrival().promptTokens();
    long low = decade == 0 ? 0 : DECADES[decade - 1];
    return tokens >= low && tokens < DECADES[decade];
  }

  /** Returns a quantile of the time to first token as a multiple of that on an idle engine. */
  double slowdown(int decade, double quantile) {
    return quantile(
        results.stream()
            .filter(result -> result.firstTokenMs() >= 0 && inDecade(result, decade))
            .mapToDouble(result -> result.firstTokenMs() / unloadedMs(result.arrival()))
            .toArray(),
        quantile);
  }

  /** Returns a quantile of the time to first token of the shortest range, in milliseconds. */
  double shortFirstTokenMs(double quantile) {
    return quantile(
        results.stream()
            .filter(result -> result.firstTokenMs() >= 0 && inDecade(result, 0))
            .mapToDouble(RequestResult::firstTokenMs)
            .toArray(),
        quantile);
  }

  static double quantile(double[] values, double quantile) {
    if (values.length == 0) {
      return Double.NaN;
    }
    Arrays.sort(values);
    int at = (int) Math.ceil(quantile * values.length) - 1;
    return values[Math.max(0, Math.min(values.length - 1, at))];
  }

  private double fraction(Predicate<RequestResult> filter) {
    return results.stream().filter(filter).count() / (double) results.size();
  }

  double finishedFraction() {
    return fraction(RequestResult::finished);
  }

  double refusedFraction() {
    return fraction(result -> result.refusal() != null);
  }

  long longUnfinished() {
    return results.stream()
        .filter(result -> !result.finished())
        .filter(result -> result.arrival().promptTokens() >= Workload.LONG_TOKENS)
        .count();
  }

  double repeats() {
    return results.stream().mapToInt(result -> Math.max(0, result.attempts() - 1)).sum()
        / (double) results.size();
  }

  /** Returns the finished work while requests arrived, in tokens per second. */
  double goodput(int seconds) {
    return finishedWork(result -> result.endMs() < seconds * 1000L) / seconds;
  }

  private double finishedWork(Predicate<RequestResult> filter) {
    return results.stream()
        .filter(RequestResult::finished)
        .filter(filter)
        .mapToDouble(result -> result.arrival().work())
        .sum();
  }

  /**
   * Returns each workspace's finished work as a fraction of its max-min fair share of all finished
   * work: an equal share, or its demand if that is less; the remainder is shared again.
   */
  double[] shares() {
    double[] finished = new double[Workload.WORKSPACES];
    double[] demand = new double[Workload.WORKSPACES];
    for (RequestResult result : results) {
      demand[result.arrival().workspace()] += result.arrival().work();
      if (result.finished()) {
        finished[result.arrival().workspace()] += result.arrival().work();
      }
    }
    double[] fair = maxMin(demand, Arrays.stream(finished).sum());
    double[] shares = new double[Workload.WORKSPACES];
    for (int i = 0; i < shares.length; i++) {
      shares[i] = fair[i] == 0 ? 1 : finished[i] / fair[i];
    }
    return shares;
  }

  private static double[] maxMin(double[] demand, double total) {
    double[] fair = new double[demand.length];
    List<Integer> open = new ArrayList<>();
    for (int i = 0; i < demand.length; i++) {
      open.add(i);
    }
    double remaining = total;
    while (!open.isEmpty()) {
      double each = remaining / open.size();
      List<Integer> small = open.stream().filter(i -> demand[i] <= each).toList();
      if (small.isEmpty()) {
        open.forEach(i -> fair[i] = each);
        return fair;
      }
      for (Integer i : small) {
        fair[i] = demand[i];
        remaining -= demand[i];
      }
      open.removeAll(small);
    }
    return fair;
  }

  /** Returns Jain's fairness index of the shares: 1 if all are equal. */
  double jain() {
    double[] shares = shares();
    double sum = Arrays.stream(shares).sum();
    double squares = Arrays.stream(shares).map(share -> share * share).sum();
    return sum * sum / (shares.length * squares);
  }

  double worstShare() {
    return Arrays.stream(shares()).min().orElse(Double.NaN);
  }
}
