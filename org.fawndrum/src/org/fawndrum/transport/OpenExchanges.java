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
 * The exchanges of requests that have no final answer yet. Carries out what the decisions ask for,
 * each step on its exchange's event loop. Safe for all threads.
 */
public final class OpenExchanges {
  private final Map<String, Exchange> exchanges = new ConcurrentHashMap<>();
  private final Consumer<Decision> feed;

  /**
   * Makes an empty set.
   *
   * @param feed takes each decision; must not block
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
   * Carries out actions.
   *
   * @param refused learns of each request that is refused, before its caller does
   * @param exchangeKnows whether an exchange that handed nothing over proves that nothing ran
   */
  public void carryOut(
      List<Action> actions, BiConsumer<String, Refusal> refused, boolean exchangeKnows) {
    for (Action action : actions) {
      if (action instanceof Action.Explain explain) {
        feed.accept(explain.decision());
      } else if (action instanceof Action.Send send) {
        onExchange(send.attempt().requestId(), exchange -> exchange.send(send));
      } else if (action instanceof Action.Cancel cancel) {
        onExchange(cancel.attempt().requestId(), exchange -> exchange.cancel(cancel));
      } else if (action instanceof Action.Refuse refuse) {
        Refusal refusal = refuse.refusal();
        refused.accept(refuse.requestId(), refusal);
        onExchange(refuse.requestId(), exchange -> refuse(exchange, refusal, exchangeKnows));
        exchanges.remove(refuse.requestId());
      }
    }
  }

  /** The exchange knows better than the decisions whether an order to send was carried out. */
  private static void refuse(Exchange exchange, Refusal refusal, boolean exchangeKnows) {
    boolean surelyNot = exchangeKnows && refusal.ran() == Ran.UNKNOWN && !exchange.everHandedOver();
    exchange.refuse(surelyNot ? refusal.with(Ran.NO) : refusal);
  }

  private void onExchange(String requestId, Consumer<Exchange> step) {
    Exchange exchange = exchanges.get(requestId);
    if (exchange != null) {
      exchange.onLoop(() -> step.accept(exchange));
    }
  }
}
