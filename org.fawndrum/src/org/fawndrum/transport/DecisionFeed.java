// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.fawndrum.coordination.Decision;
import org.fawndrum.coordination.DecisionKind;
import org.fawndrum.internal.duty.Duty;
import org.fawndrum.internal.duty.Ring;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.OperatorMessages.DecisionView;
import org.fawndrum.protocol.OperatorMessages.Story;
import org.fawndrum.protocol.OperatorViews;

/**
 * Shows decisions: keeps the stories of the newest requests, feeds watchers, histograms and the
 * log. Runs on a thread of its own, so that nobody who watches can slow down the decisions; when
 * its ring is full a decision is not shown, and that is counted.
 */
final class DecisionFeed implements AutoCloseable {
  private static final int RING = 16_384;
  private static final int STORIES = 4_096;
  private static final int LONGEST_STORY = 32;
  private static final long TICK_MS = 100;

  private final Map<String, List<DecisionView>> stories =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, List<DecisionView>> eldest) {
          return size() > STORIES;
        }
      };
  private final List<Consumer<DecisionView>> watchers = new CopyOnWriteArrayList<>();
  private final RequestMetrics metrics;
  private final HostLog log;
  private final AtomicLong notShown = new AtomicLong();
  private final Duty<Decision> duty;

  DecisionFeed(RequestMetrics metrics, HostLog log) {
    this.metrics = metrics;
    this.log = log;
    this.duty = new Duty<>("feed", new Ring<>(RING), this::show, () -> {}, TICK_MS, log);
  }

  void start() {
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
  }

  /** Takes a decision; never blocks. */
  void accept(Decision decision) {
    if (!duty.offer(decision)) {
      notShown.incrementAndGet();
    }
  }

  /** Returns how many decisions were not shown. */
  long notShown() {
    return notShown.get();
  }

  private void show(Decision decision) {
    DecisionView view = OperatorViews.decision(decision);
    synchronized (stories) {
      List<DecisionView> story =
          stories.computeIfAbsent(decision.requestId(), id -> new ArrayList<>(4));
      if (story.size() < LONGEST_STORY) {
        story.add(view);
      }
    }
    metrics.decided(decision);
    if (decision.kind() == DecisionKind.REFUSED) {
      log.request(decision.requestId(), LogEvent.REQUEST_REFUSED, view.refusal(), view.ran());
    } else {
      log.request(
          decision.requestId(),
          LogEvent.REQUEST_DECIDED,
          view.decision(),
          view.reason(),
          view.endpoint());
    }
    watchers.forEach(watcher -> watcher.accept(view));
  }

  /** Adds a watcher, called on the feed's thread; it must not block. */
  void watch(Consumer<DecisionView> watcher) {
    watchers.add(watcher);
  }

  void unwatch(Consumer<DecisionView> watcher) {
    watchers.remove(watcher);
  }

  /** Returns one request's story, while it is kept. */
  Optional<Story> story(String requestId) {
    synchronized (stories) {
      return Optional.ofNullable(stories.get(requestId))
          .map(decisions -> new Story(requestId, List.copyOf(decisions)));
    }
  }
}
