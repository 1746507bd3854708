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
 * Publishes decisions: keeps the decision history of the newest requests and passes each decision
 * to watchers, metrics and the log. Runs on its own thread, so that a slow consumer cannot delay
 * the decision thread; when its ring is full a decision is dropped and counted.
 */
final class DecisionFeed implements AutoCloseable {
  private static final int RING_CAPACITY = 16_384;

  /** Maximum number of requests whose decisions are kept. */
  private static final int MAX_STORIES = 4_096;

  /** Maximum number of decisions kept for one request. */
  private static final int MAX_STORY_LENGTH = 32;

  private static final long TICK_MS = 100;

  private final Map<String, List<DecisionView>> stories =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, List<DecisionView>> eldest) {
          return size() > MAX_STORIES;
        }
      };
  private final List<Consumer<DecisionView>> watchers = new CopyOnWriteArrayList<>();
  private final RequestMetrics metrics;
  private final HostLog log;
  private final AtomicLong dropped = new AtomicLong();
  private final Duty<Decision> duty;

  DecisionFeed(RequestMetrics metrics, HostLog log) {
    this.metrics = metrics;
    this.log = log;
    this.duty =
        new Duty<>("feed", new Ring<>(RING_CAPACITY), this::process, () -> {}, TICK_MS, log);
  }

  void start() {
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
  }

  /** Queues a decision; never blocks. */
  void accept(Decision decision) {
    if (!duty.offer(decision)) {
      dropped.incrementAndGet();
    }
  }

  /** Returns the number of decisions dropped because the ring was full. */
  long dropped() {
    return dropped.get();
  }

  private void process(Decision decision) {
    DecisionView view = OperatorViews.decision(decision);
    synchronized (stories) {
      List<DecisionView> story =
          stories.computeIfAbsent(decision.requestId(), id -> new ArrayList<>(4));
      if (story.size() < MAX_STORY_LENGTH) {
        story.add(view);
      }
    }
    metrics.onDecision(decision);
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

  /** Adds a watcher, which is called on the feed's thread and must not block. */
  void watch(Consumer<DecisionView> watcher) {
    watchers.add(watcher);
  }

  void unwatch(Consumer<DecisionView> watcher) {
    watchers.remove(watcher);
  }

  /** Returns the decisions of a request, or empty when none are kept. */
  Optional<Story> story(String requestId) {
    synchronized (stories) {
      return Optional.ofNullable(stories.get(requestId))
          .map(decisions -> new Story(requestId, List.copyOf(decisions)));
    }
  }
}
