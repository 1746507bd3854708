// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.Recorder;
import org.fawndrum.coordination.Decision;
import org.fawndrum.coordination.DecisionKind;
import org.fawndrum.coordination.Prefill;
import org.fawndrum.coordination.RequestFacts;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramResetOnSnapshotReservoir;

/**
 * Histograms of time to first token, time between tokens and queue time in milliseconds, and
 * counters of outcomes, each by workspace and length class. The number of histograms is bounded:
 * once {@link #MAX_WORKSPACES} workspaces are recorded, others count as {@code other}. Safe for all
 * threads.
 */
public final class RequestMetrics implements TokenListener {
  /** Maximum number of workspaces with histograms of their own. */
  public static final int MAX_WORKSPACES = 200;

  /** Maximum number of engines in the class {@code few} of engines that prefill one prompt. */
  private static final int MAX_FEW_ENGINES = 4;

  private static final String OTHER = "other";
  private static final long MAX_VALUE_MS = 86_400_000;
  private static final int SIGNIFICANT_DIGITS = 1;

  private final MetricRegistry registry;
  private final HostClock clock;
  private final Map<String, Boolean> workspaces = new ConcurrentHashMap<>();
  private final Map<String, Long> lastTokenMs = new ConcurrentHashMap<>();
  private final Map<String, Boolean> placed = new ConcurrentHashMap<>();

  /** Creates the metrics in a registry. */
  public RequestMetrics(MetricRegistry registry, HostClock clock) {
    this.registry = registry;
    this.clock = clock;
    registry.counter("endpointCrashes");
    registry.counter("answersBrokenOff");
    registry.counter("answersWithoutFraming");
  }

  private String workspace(String name) {
    if (workspaces.containsKey(name)) {
      return name;
    }
    if (workspaces.size() >= MAX_WORKSPACES) {
      return OTHER;
    }
    workspaces.put(name, Boolean.TRUE);
    return name;
  }

  /** Returns the length class of a prompt by its tokens; {@code plain} for 0 tokens. */
  static String lengthClass(long promptTokens) {
    if (promptTokens == 0) {
      return "plain";
    }
    if (promptTokens < 10_000) {
      return "to10k";
    }
    return promptTokens < 100_000 ? "to100k" : "over100k";
  }

  private Histogram histogram(String what, String workspace, long promptTokens) {
    return histogram(MetricRegistry.name(what, workspace(workspace), lengthClass(promptTokens)));
  }

  private Histogram histogram(String name) {
    return registry.histogram(
        name,
        () ->
            new Histogram(
                new HdrHistogramResetOnSnapshotReservoir(
                    new Recorder(1, MAX_VALUE_MS, SIGNIFICANT_DIGITS))));
  }

  private Counter counter(String what, String workspace, long promptTokens) {
    return registry.counter(
        MetricRegistry.name(what, workspace(workspace), lengthClass(promptTokens)));
  }

  /** Counts an endpoint that ended while it had a request of this host. */
  public void onEndpointCrash() {
    registry.counter("endpointCrashes").inc();
  }

  /** Counts an endpoint's answer whose connection was lost before its end. */
  public void onAnswerBrokenOff() {
    registry.counter("answersBrokenOff").inc();
  }

  /** Counts an endpoint's answer that has neither a length nor chunks. */
  public void onAnswerWithoutFraming() {
    registry.counter("answersWithoutFraming").inc();
  }

  /** Records a decision in the histograms and counters. */
  public void onDecision(Decision decision) {
    String workspace = decision.group().workspace();
    long tokens = decision.promptTokens();
    long sinceMs = Math.max(1, decision.sinceArrivalMs());
    switch (decision.kind()) {
      case PLACED -> {
        if (placed.put(decision.requestId(), Boolean.TRUE) == null) {
          histogram("queueMs", workspace, tokens).update(sinceMs);
        }
      }
      case FIRST_TOKEN -> {
        histogram("firstTokenMs", workspace, tokens).update(sinceMs);
        decision.prefill().ifPresent(prefill -> recordForecastError(prefill, tokens));
      }
      case FINISHED, REFUSED -> countOutcome(decision, workspace, tokens);
      default -> {}
    }
  }

  /** Records the difference between the expected and the actual time of the first token. */
  private void recordForecastError(Prefill prefill, long promptTokens) {
    long delayMs = prefill.delayMs();
    String what = delayMs >= 0 ? "laterThanExpectedMs" : "soonerThanExpectedMs";
    String name = MetricRegistry.name(what, lengthClass(promptTokens), enginesClass(prefill));
    histogram(name).update(Math.max(1, Math.abs(delayMs)));
  }

  /** Returns the class of a prefill by its number of engines: one, few or many. */
  private static String enginesClass(Prefill prefill) {
    int engines = prefill.engines().size();
    if (engines == 1) {
      return "one";
    }
    return engines <= MAX_FEW_ENGINES ? "few" : "many";
  }

  private void countOutcome(Decision decision, String workspace, long tokens) {
    placed.remove(decision.requestId());
    lastTokenMs.remove(decision.requestId());
    String outcome =
        decision.kind() == DecisionKind.FINISHED
            ? "finished"
            : decision.refusal().map(refusal -> refusal.kind().code()).orElse(OTHER);
    counter("outcome." + outcome, workspace, tokens).inc();
  }

  @Override
  public void tokensForwarded(RequestFacts facts, int count) {
    long nowMs = clock.nowMs();
    Long beforeMs = lastTokenMs.put(facts.requestId(), nowMs);
    if (beforeMs != null) {
      long gapMs = Math.max(1, nowMs - beforeMs);
      histogram("betweenTokensMs", facts.group().workspace(), facts.promptTokens()).update(gapMs);
    }
  }

  /** Returns all values by metric name. Each call resets the histograms. */
  public Map<String, Map<String, Number>> values() {
    Map<String, Map<String, Number>> values = new TreeMap<>();
    registry.getHistograms().forEach((name, histogram) -> values.put(name, summary(histogram)));
    registry
        .getCounters()
        .forEach((name, counter) -> values.put(name, Map.of("count", counter.getCount())));
    registry
        .getGauges()
        .forEach(
            (name, gauge) -> {
              if (gauge.getValue() instanceof Number number) {
                values.put(name, Map.of("value", number));
              }
            });
    return values;
  }

  private static Map<String, Number> summary(Histogram histogram) {
    Snapshot snapshot = histogram.getSnapshot();
    Map<String, Number> summary = new LinkedHashMap<>();
    summary.put("count", histogram.getCount());
    summary.put("p50", snapshot.getMedian());
    summary.put("p95", snapshot.get95thPercentile());
    summary.put("p99", snapshot.get99thPercentile());
    summary.put("max", snapshot.getMax());
    return summary;
  }

  /** Returns all values in the text format of common scrapers. Each call resets the histograms. */
  public String text() {
    StringBuilder text = new StringBuilder();
    values()
        .forEach(
            (name, summary) ->
                summary.forEach(
                    (stat, value) ->
                        text.append(
                            String.format(
                                Locale.ROOT,
                                "fawndrum_%s{stat=\"%s\"} %s%n",
                                name.replaceAll("[^A-Za-z0-9_]", "_"),
                                stat,
                                value))));
    return text.toString();
  }
}
