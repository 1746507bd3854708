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
import org.fawndrum.coordination.Reading;
import org.fawndrum.coordination.RequestFacts;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramResetOnSnapshotReservoir;

/**
 * Histograms for each workspace and length class: time to first token, time between tokens and
 * queue time, in milliseconds, and counts of outcomes. The number of histograms is bounded: a
 * workspace that comes when all are in use is counted under {@code other}. Safe for all threads.
 */
public final class RequestMetrics implements StreamTimes {
  /** The most workspaces that have histograms of their own. */
  public static final int MOST_WORKSPACES = 200;

  /** Up to so many engines that read a prompt together count as few. */
  private static final int FEW_ENGINES = 4;

  private static final String OTHER = "other";
  private static final long LONGEST_MS = 86_400_000;
  private static final int DIGITS = 1;

  private final MetricRegistry registry;
  private final HostClock clock;
  private final Map<String, Boolean> workspaces = new ConcurrentHashMap<>();
  private final Map<String, Long> lastToken = new ConcurrentHashMap<>();
  private final Map<String, Boolean> placed = new ConcurrentHashMap<>();

  /** Makes the metrics. */
  public RequestMetrics(MetricRegistry registry, HostClock clock) {
    this.registry = registry;
    this.clock = clock;
  }

  private String workspace(String name) {
    if (workspaces.containsKey(name)) {
      return name;
    }
    if (workspaces.size() >= MOST_WORKSPACES) {
      return OTHER;
    }
    workspaces.put(name, Boolean.TRUE);
    return name;
  }

  /** Returns the length class of a prompt: the decade of its length in tokens. */
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
                new HdrHistogramResetOnSnapshotReservoir(new Recorder(1, LONGEST_MS, DIGITS))));
  }

  private Counter counter(String what, String workspace, long promptTokens) {
    return registry.counter(
        MetricRegistry.name(what, workspace(workspace), lengthClass(promptTokens)));
  }

  /** Counts a decision. */
  public void decided(Decision decision) {
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
        decision.reading().ifPresent(reading -> expected(reading, tokens));
      }
      case FINISHED, REFUSED -> ended(decision, workspace, tokens);
      default -> {}
    }
  }

  /** Notes by how much the first token came later or sooner than expected. */
  private void expected(Reading reading, long promptTokens) {
    long laterMs = reading.laterMs();
    String what = laterMs >= 0 ? "laterThanExpectedMs" : "soonerThanExpectedMs";
    String name = MetricRegistry.name(what, lengthClass(promptTokens), enginesClass(reading));
    histogram(name).update(Math.max(1, Math.abs(laterMs)));
  }

  /** Returns the class of a reading by its number of engines. */
  private static String enginesClass(Reading reading) {
    int engines = reading.engines().size();
    if (engines == 1) {
      return "one";
    }
    return engines <= FEW_ENGINES ? "few" : "many";
  }

  private void ended(Decision decision, String workspace, long tokens) {
    placed.remove(decision.requestId());
    lastToken.remove(decision.requestId());
    String outcome =
        decision.kind() == DecisionKind.FINISHED
            ? "finished"
            : decision.refusal().map(refusal -> refusal.kind().code()).orElse(OTHER);
    counter("outcome." + outcome, workspace, tokens).inc();
  }

  @Override
  public void tokens(RequestFacts facts, int count) {
    long nowMs = clock.nowMs();
    Long beforeMs = lastToken.put(facts.requestId(), nowMs);
    if (beforeMs != null) {
      long gapMs = Math.max(1, nowMs - beforeMs);
      histogram("betweenTokensMs", facts.group().workspace(), facts.promptTokens()).update(gapMs);
    }
  }

  /** Returns all values by name. Histograms begin anew with each reading. */
  public Map<String, Map<String, Number>> values() {
    Map<String, Map<String, Number>> values = new TreeMap<>();
    registry.getHistograms().forEach((name, one) -> values.put(name, summary(one)));
    registry
        .getCounters()
        .forEach((name, one) -> values.put(name, Map.of("count", one.getCount())));
    registry
        .getGauges()
        .forEach(
            (name, one) -> {
              if (one.getValue() instanceof Number number) {
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

  /** Returns all values in the text form that common scrapers read. */
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
