// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.Decision;
import org.fawndrum.coordination.EndpointRoster;
import org.fawndrum.coordination.LimitParts;
import org.fawndrum.coordination.LoadReport;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.StopWindow;
import org.fawndrum.coordination.once.ClaimAnswer;
import org.fawndrum.coordination.once.ClaimKey;
import org.fawndrum.internal.duty.Duty;
import org.fawndrum.internal.duty.Ring;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.EngineMessages.Load;
import org.fawndrum.protocol.LoadDigest;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * The thread that decides. It feeds events with their time to the coordinator and carries out the
 * actions on the exchanges' event loops.
 */
final class DecisionDuty implements AutoCloseable {
  private static final long TICK_MS = 10;

  private final RequestCoordinator coordinator;
  private final HostIdentity self;
  private final String zone;
  private final EndpointRoster roster = new EndpointRoster();
  private final HostClock clock;
  private final Consumer<HostIdentity> leavingNews;
  private final ClaimDesk claims;
  private final Map<Integer, Endpoint> byNameHash = new HashMap<>();
  private final OpenExchanges exchanges;
  private final Duty<HostEvent> duty;
  private volatile View view = new View(0, 0, false, List.of(), List.of());

  /**
   * What other threads may see.
   *
   * @param open requests without a final answer
   * @param waiting requests waiting for an endpoint
   * @param registered whether calls that may not be repeated are served
   * @param endpoints endpoints that may get new work
   * @param leaving endpoints that are leaving
   */
  record View(
      int open,
      int waiting,
      boolean registered,
      List<Endpoint> endpoints,
      List<HostIdentity> leaving) {}

  /** What claims need from the network and the log. */
  interface Claims {
    /** Reads the log to its end; fails when that cannot be done. */
    CompletableFuture<Void> readLogToEnd();

    /** Asks another daemon; fails when it does not answer. */
    CompletableFuture<ClaimAnswer> ask(HostIdentity identity, HostAddress address, ClaimKey key);
  }

  /** Connects claims with this thread. */
  private final class Outside implements ClaimDesk.Outside {
    private final Claims network;

    Outside(Claims network) {
      this.network = network;
    }

    @Override
    public CompletableFuture<Void> readLogToEnd() {
      return network.readLogToEnd();
    }

    @Override
    public CompletableFuture<ClaimAnswer> ask(
        HostIdentity identity, HostAddress address, ClaimKey key) {
      return network.ask(identity, address, key);
    }

    @Override
    public void later(HostEvent event) {
      // A claim whose event finds no room ends by its time limit, with an honest "unknown".
      offer(event);
    }

    @Override
    public long nowMs() {
      return clock.nowMs();
    }

    @Override
    public void admit(RequestFacts facts) {
      carryOut(coordinator.arrive(facts, clock.nowMs()));
    }

    @Override
    public void refuse(RequestFacts facts, Refusal refusal) {
      // The refusal speaks of earlier sendings too, of which the exchange knows nothing.
      carryOut(coordinator.refuse(facts, refusal, clock.nowMs()), false);
    }
  }

  /**
   * Makes the duty, not started.
   *
   * @param feed takes each decision; must not block
   * @param leavingNews takes each endpoint newly known to be leaving; must not block
   */
  DecisionDuty(
      RequestCoordinator coordinator,
      HostIdentity self,
      String zone,
      Claims claims,
      HostClock clock,
      int ringEvents,
      Consumer<Decision> feed,
      Consumer<HostIdentity> leavingNews,
      HostLog log) {
    this.coordinator = coordinator;
    this.self = self;
    this.zone = zone;
    this.claims = new ClaimDesk(self, new Outside(claims));
    this.clock = clock;
    this.exchanges = new OpenExchanges(feed);
    this.leavingNews = leavingNews;
    this.duty =
        new Duty<>("decisions", new Ring<>(ringEvents), this::handle, this::tick, TICK_MS, log);
  }

  void start() {
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
  }

  View view() {
    return view;
  }

  Ring<HostEvent> ring() {
    return duty.ring();
  }

  /** Takes a new request with its exchange; returns false when there is no room for it. */
  boolean arrived(HostEvent.Arrived arrived, Exchange exchange) {
    String id = arrived.facts().requestId();
    exchanges.add(id, exchange);
    if (duty.offerNew(arrived)) {
      return true;
    }
    exchanges.remove(id);
    return false;
  }

  /** Takes an event about work already taken; returns false when there is no room for it now. */
  boolean offer(HostEvent event) {
    return duty.offer(event);
  }

  private void tick() {
    claims.tick(clock.nowMs());
    carryOut(coordinator.tick(clock.nowMs()));
    refreshView();
  }

  private void refreshView() {
    View before = view;
    int open = coordinator.open() + claims.waiting();
    boolean same =
        before.open() == open
            && before.waiting() == coordinator.waiting()
            && before.registered() == claims.registered();
    if (!same) {
      view =
          new View(
              open,
              coordinator.waiting(),
              claims.registered(),
              before.endpoints(),
              before.leaving());
    }
  }

  private void handle(HostEvent event) {
    long nowMs = clock.nowMs();
    if (event instanceof HostEvent.Arrived arrived) {
      arrived(arrived, nowMs);
    } else if (event instanceof HostEvent.Attempted attempted) {
      carryOut(coordinator.attempt(attempted.attempt(), attempted.event(), nowMs));
      forgetIfEnded(attempted.attempt().requestId());
    } else if (event instanceof HostEvent.CallerGone gone) {
      claims.callerGone(gone.requestId());
      carryOut(coordinator.callerGone(gone.requestId(), nowMs));
    } else if (event instanceof HostEvent.TableChanged changed) {
      carryOut(coordinator.table(changed.table(), nowMs));
    } else if (event instanceof HostEvent.Listed listed) {
      listed(listed, nowMs);
    } else if (event instanceof HostEvent.Loaded loaded) {
      loaded(loaded, nowMs);
    } else if (event instanceof HostEvent.LoadsTold told) {
      told.loads().forEach(one -> told(one, nowMs));
    } else if (event instanceof HostEvent.SaidLeaving said) {
      if (roster.saidLeaving(said.endpoint())) {
        offerEndpoints(nowMs);
      }
    } else if (event instanceof HostEvent.DrainOrdered) {
      coordinator.stop(StopWindow.CLOSED);
    } else {
      handleClaim(event, nowMs);
    }
    refreshView();
  }

  private void handleClaim(HostEvent event, long nowMs) {
    if (event instanceof HostEvent.Registered registered) {
      claims.registered(registered.registration(), nowMs);
    } else if (event instanceof HostEvent.PeerHeard heard) {
      claims.heard(heard.identity());
    } else if (event instanceof HostEvent.PeerLost lost) {
      claims.lost(lost.identity(), nowMs);
    } else if (event instanceof HostEvent.ClaimLogRead read) {
      claims.logRead(read.requestId(), nowMs);
    } else if (event instanceof HostEvent.ClaimAnswered answered) {
      claims.answered(answered, nowMs);
    } else if (event instanceof HostEvent.ClaimAsked asked) {
      claims.asked(asked, nowMs);
    } else if (event instanceof HostEvent.Inherited inherited) {
      claims.inherit(inherited.handed());
      inherited.taken().run();
    } else if (event instanceof HostEvent.HandoverWanted wanted) {
      wanted.reply().accept(claims.handover());
    }
  }

  private void arrived(HostEvent.Arrived arrived, long nowMs) {
    if (arrived.claim() == null) {
      carryOut(coordinator.arrive(arrived.facts(), nowMs));
    } else {
      claims.arrived(arrived.facts(), arrived.claim(), nowMs);
    }
  }

  private void forgetIfEnded(String requestId) {
    if (!coordinator.isOpen(requestId)) {
      exchanges.remove(requestId);
      claims.ended(requestId, Ran.YES, clock.nowMs());
    }
  }

  private void listed(HostEvent.Listed listed, long nowMs) {
    if (roster.listed(listed.listing())) {
      carryOut(coordinator.limitPart(LimitParts.part(self, zone, listed.listing()), nowMs));
      offerEndpoints(nowMs);
    }
  }

  private void loaded(HostEvent.Loaded loaded, long nowMs) {
    Load load = loaded.load();
    HostIdentity identity = new HostIdentity(load.host(), load.incarnation());
    boolean changed = roster.answered(identity);
    if (load.leaving() && roster.saidLeaving(identity)) {
      leavingNews.accept(identity);
      changed = true;
    }
    if (changed) {
      offerEndpoints(nowMs);
    }
    carryOut(coordinator.load(identity, load.report(), nowMs));
  }

  private void told(LoadDigest.Entry entry, long nowMs) {
    Endpoint endpoint = byNameHash.get(entry.nameHash());
    if (endpoint == null) {
      return;
    }
    LoadReport load =
        new LoadReport(
            0,
            entry.load().backlogTokens(),
            (long) (entry.freePart() * endpoint.memoryTokens()),
            0,
            entry.load().tokensPerSecond());
    carryOut(coordinator.loadTold(endpoint.identity(), load, nowMs));
  }

  private void offerEndpoints(long nowMs) {
    List<Endpoint> open = roster.open();
    byNameHash.clear();
    open.forEach(endpoint -> byNameHash.put(LoadDigest.nameHash(endpoint.name()), endpoint));
    carryOut(coordinator.endpoints(open, nowMs));
    carryOut(coordinator.restarted(roster::isOver, nowMs));
    view =
        new View(
            coordinator.open() + claims.waiting(),
            coordinator.waiting(),
            claims.registered(),
            open,
            List.copyOf(roster.leaving()));
  }

  private void carryOut(List<Action> actions) {
    carryOut(actions, true);
  }

  private void carryOut(List<Action> actions, boolean exchangeKnows) {
    exchanges.carryOut(
        actions,
        (requestId, refusal) -> claims.ended(requestId, refusal.ran(), clock.nowMs()),
        exchangeKnows);
  }
}
