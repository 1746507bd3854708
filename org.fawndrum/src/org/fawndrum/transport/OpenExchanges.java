// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.Decision;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;

/**
 * The exchanges of requests without a final answer. Runs the actions of the decision thread, each
 * on the event loop of its exchange. Safe for all threads.
 */
public final class OpenExchanges {
  private final Map<String, Exchange> exchanges = new ConcurrentHashMap<>();
  private final Consumer<Decision> feed;

  /**
   * Creates an empty set.
   *
   * @param feed receives each decision; must not block
   */
  public OpenExchanges(Consumer<Decision> feed) {
    this.feed = feed;
  }

  /** Adds the exchange of a request. */
  public void add(String requestId, Exchange exchange) {
    exchanges.put(requestId, exchange);
  }

  /** Removes the exchange of a request that has its final answer. */
  public void remove(String requestId) {
    exchanges.remove(requestId);
  }

  /**
   * Runs actions.
   *
   * @param refusalListener called for each refused request, before the refusal is sent to its
   *     caller
   * @param unsentProvesNotRun whether an exchange that sent nothing proves that the request did not
   *     run
   */
  public void carryOut(
      List<Action> actions,
      BiConsumer<String, Refusal> refusalListener,
      boolean unsentProvesNotRun) {
    for (Action action : actions) {
      if (action instanceof Action.RecordDecision recorded) {
        feed.accept(recorded.decision());
      } else if (action instanceof Action.Send send) {
        runOnExchange(send.attempt().requestId(), exchange -> exchange.send(send));
      } else if (action instanceof Action.Cancel cancel) {
        runOnExchange(cancel.attempt().requestId(), exchange -> exchange.cancel(cancel));
      } else if (action instanceof Action.AskEndpoint ask) {
        runOnExchange(ask.attempt().requestId(), exchange -> exchange.askEndpoint(ask));
      } else if (action instanceof Action.Refuse refuse) {
        Refusal refusal = refuse.refusal();
        refusalListener.accept(refuse.requestId(), refusal);
        runOnExchange(
            refuse.requestId(), exchange -> refuse(exchange, refusal, unsentProvesNotRun));
        exchanges.remove(refuse.requestId());
      }
    }
  }

  /** Narrows an unknown outcome to "did not run" if the exchange never sent the request. */
  private static void refuse(Exchange exchange, Refusal refusal, boolean unsentProvesNotRun) {
    boolean didNotRun =
        unsentProvesNotRun && refusal.ran() == Ran.UNKNOWN && !exchange.anyRequestSent();
    exchange.refuse(didNotRun ? refusal.withRan(Ran.NO) : refusal);
  }

  private void runOnExchange(String requestId, Consumer<Exchange> step) {
    Exchange exchange = exchanges.get(requestId);
    if (exchange != null) {
      exchange.runOnLoop(() -> step.accept(exchange));
    }
  }
}
