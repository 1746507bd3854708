// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.Decision;
import org.fawndrum.coordination.EndpointRoster;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.crash.CrashFinding;
import org.fawndrum.coordination.crash.RefusedRequest;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.internal.duty.Duty;
import org.fawndrum.internal.duty.Ring;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LineBudget;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.RouteTable;
import org.fawndrum.transport.Exchange;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.OpenExchanges;

/**
 * The thread that decides about relayed requests. It feeds events with their time to the
 * coordinator and has the actions carried out. Its methods are safe for all threads and never
 * block.
 */
final class RelayDuty {
  private static final int RING_EVENTS = 8_192;

  /** How long the thread sleeps when nothing is due, in milliseconds. */
  private static final long IDLE_MS = 1_000;

  /** How often waiting requests are offered again, in milliseconds. */
  private static final long WAITING_MS = 10;

  /** The most lines a second about requests that are suspected and not turned away. */
  private static final int FINDING_LINES = 5;

  private final RequestCoordinator coordinator;
  private final EndpointRoster roster = new EndpointRoster();
  private final HostClock clock;
  private final Consumer<Action.Announce> news;
  private final FleetTeller fleet;
  private final Consumer<Endpoint> startQuestions;
  private final HostLog log;
  private final OpenExchanges exchanges;
  private final Duty<RelayEvent> duty;
  private RouteTable routes = RouteTable.NONE;
  private final LineBudget findingLines = new LineBudget(FINDING_LINES);
  private boolean givingUp;
  private volatile int open;
  private volatile long crashSummary;
  private volatile List<RefusedRequest> refused = List.of();
  private volatile int leavingEndpoints;
  private volatile int turnedAway;
  private volatile int givenUp;

  /**
   * Makes the duty, not started.
   *
   * @param feed takes each decision; must not block
   * @param news takes what other daemons should know; must not block
   * @param fleet tells other daemons of endpoints that ended or leave
   * @param startQuestions asks an endpoint whether this start of it leaves; must not block
   */
  RelayDuty(
      RequestCoordinator coordinator,
      HostClock clock,
      Consumer<Decision> feed,
      Consumer<Action.Announce> news,
      FleetTeller fleet,
      Consumer<Endpoint> startQuestions,
      HostLog log) {
    this.coordinator = coordinator;
    this.clock = clock;
    this.news = news;
    this.fleet = fleet;
    this.startQuestions = startQuestions;
    this.log = log;
    this.exchanges = new OpenExchanges(feed);
    this.duty = new Duty<>("decisions", new Ring<>(RING_EVENTS), this::handle, this::tick, log);
  }

  void start() {
    duty.start();
  }

  /** Returns about how many requests have no final answer. */
  int open() {
    return open + duty.ring().size();
  }

  /** Returns how many new requests were turned away because the host stops. */
  int turnedAway() {
    return turnedAway;
  }

  /** Returns how many requests were open when the host ended, and were given up. */
  int givenUp() {
    return givenUp;
  }

  /** Returns a number that two hosts which know of the same crashes have in common. */
  long crashSummary() {
    return crashSummary;
  }

  /** Returns the requests that are turned away because endpoints end under them. */
  List<RefusedRequest> refusedRequests() {
    return refused;
  }

  /** Returns how many endpoints of the list get nothing more because they leave. */
  int leavingEndpoints() {
    return leavingEndpoints;
  }

  /** Returns how many events wait for the thread. */
  int ringFill() {
    return duty.ring().size();
  }

  /** Takes a new request with its exchange; returns false when there is no room for it. */
  boolean arrived(RelayEvent.Arrived arrived, Exchange exchange) {
    String id = arrived.facts().requestId();
    exchanges.add(id, exchange);
    if (duty.offerNew(arrived)) {
      return true;
    }
    exchanges.remove(id);
    return false;
  }

  /** Takes an event about work already taken; returns false when there is no room for it now. */
  boolean offer(RelayEvent event) {
    return duty.offer(event);
  }

  private long tick() {
    long nowMs = clock.nowMs();
    carryOut(coordinator.tick(nowMs));
    show();
    long dueMs = Math.min(IDLE_MS, coordinator.nextCheckMs() - nowMs);
    return coordinator.waiting() > 0 ? Math.min(WAITING_MS, dueMs) : dueMs;
  }

  private void handle(RelayEvent event) {
    long nowMs = clock.nowMs();
    if (event instanceof RelayEvent.OfRequest ofRequest) {
      handle(ofRequest, nowMs);
    } else if (event instanceof RelayEvent.OfDaemon ofDaemon) {
      handle(ofDaemon, nowMs);
    } else if (event instanceof RelayEvent.OfEndpoints ofEndpoints) {
      handle(ofEndpoints, nowMs);
    } else if (event instanceof RelayEvent.OfHost ofHost) {
      handle(ofHost, nowMs);
    }
    show();
  }

  /** Lets other threads see where the decisions stand. */
  private void show() {
    open = coordinator.open();
    crashSummary = coordinator.suspects().summary();
    refused = coordinator.suspects().refused();
  }

  private void handle(RelayEvent.OfRequest event, long nowMs) {
    if (event instanceof RelayEvent.Arrived arrived) {
      carryOut(coordinator.arrive(arrived.facts(), nowMs));
    } else if (event instanceof RelayEvent.Attempted attempted) {
      carryOut(coordinator.attempt(attempted.attempt(), attempted.event(), nowMs));
      if (!coordinator.isOpen(attempted.attempt().requestId())) {
        exchanges.remove(attempted.attempt().requestId());
      }
    } else if (event instanceof RelayEvent.EndpointEnded ended) {
      carryOut(coordinator.endpointEnded(ended.attempt(), nowMs));
    } else if (event instanceof RelayEvent.HelperRefused refused) {
      carryOut(coordinator.helperRefused(refused.attempt(), refused.helper(), nowMs));
    } else if (event instanceof RelayEvent.CallerGone gone) {
      carryOut(coordinator.callerGone(gone.requestId(), nowMs));
    }
  }

  private void handle(RelayEvent.OfDaemon event, long nowMs) {
    if (event instanceof RelayEvent.Told told) {
      learnStarts(told.reports(), nowMs);
      carryOut(coordinator.told(told.reports(), nowMs));
    } else if (event instanceof RelayEvent.DaemonGone gone) {
      carryOut(coordinator.daemonGone(gone.daemon(), nowMs));
    } else if (event instanceof RelayEvent.WorkWanted wanted) {
      wanted.reply().accept(coordinator.work());
    } else if (event instanceof RelayEvent.CrashesTold told) {
      toldCrashes(told.told(), nowMs);
    } else if (event instanceof RelayEvent.CrashesWanted wanted) {
      fleet.allCrashes(wanted.by(), coordinator.suspects().all());
    }
  }

  /** Takes over what another daemon knows, and tells it all if it still knows less. */
  private void toldCrashes(CrashesFrom told, long nowMs) {
    carryOut(coordinator.suspects(one -> one.heard(told.news(), nowMs), nowMs));
    if (told.whole() && told.summary() != coordinator.suspects().summary()) {
      fleet.crashes(coordinator.suspects().all());
    }
  }

  /** Work that others place at a later start of an endpoint says that it has started again. */
  private void learnStarts(List<FleetReport> reports, long nowMs) {
    boolean news = false;
    for (FleetReport report : reports) {
      for (EngineNews one : report.news()) {
        news |=
            one instanceof EngineNews.Placed placed && roster.startedAgain(placed.job().endpoint());
      }
    }
    if (news) {
      offerEndpoints(nowMs);
    }
  }

  private void handle(RelayEvent.OfEndpoints event, long nowMs) {
    if (event instanceof RelayEvent.RoutesChanged changed) {
      routes = changed.routes();
      carryOut(coordinator.table(changed.table(), nowMs));
      offerEndpoints(nowMs);
    } else if (event instanceof RelayEvent.Listed listed) {
      if (roster.listed(listed.listing())) {
        offerEndpoints(nowMs);
      }
    } else if (event instanceof RelayEvent.Leaving leaving) {
      leaving(leaving, nowMs);
    } else if (event instanceof RelayEvent.StartAsked asked) {
      if (roster.asked(asked.start())) {
        offerEndpoints(nowMs);
      }
    } else if (event instanceof RelayEvent.RestAsked) {
      carryOut(coordinator.endpointRests(nowMs));
    } else if (event instanceof RelayEvent.Restarted restarted) {
      if (roster.startedAgain(restarted.start())) {
        offerEndpoints(nowMs);
      }
    }
  }

  /**
   * Sends nothing more to endpoints that leave. Their own notice is the first there is of it, and
   * the only one while the store takes none; the other daemons hear of it once, from each that
   * learns.
   */
  private void leaving(RelayEvent.Leaving event, long nowMs) {
    List<HostIdentity> news =
        event.endpoints().stream().filter(roster::saidLeavingInAnswer).toList();
    if (!news.isEmpty()) {
      news.forEach(one -> log.event(LogEvent.ENDPOINT_LEAVES, one, event.by()));
      offerEndpoints(nowMs);
      fleet.leaving(news);
    }
  }

  private void handle(RelayEvent.OfHost event, long nowMs) {
    if (event instanceof RelayEvent.LetGo letGo) {
      log.event(LogEvent.REQUEST_LET_GO, letGo.fingerprint());
      carryOut(coordinator.suspects(one -> one.letGo(letGo.fingerprint(), nowMs), nowMs));
    } else if (event instanceof RelayEvent.StopOrdered ordered) {
      coordinator.stop(ordered.window());
    } else if (event instanceof RelayEvent.Ending end) {
      givenUp = coordinator.open();
      givingUp = true;
      carryOut(coordinator.giveUpAll(nowMs));
      givingUp = false;
      end.decided().run();
    }
  }

  /** Offers the endpoints with what the configuration says of their services. */
  private void offerEndpoints(long nowMs) {
    List<Endpoint> known =
        roster.open().stream().map(this::described).flatMap(Optional::stream).toList();
    leavingEndpoints = roster.listedLeaving();
    roster.takeUnclear().forEach(this::ask);
    carryOut(coordinator.endpoints(known, nowMs));
    carryOut(coordinator.restarted(roster::isOver, nowMs));
  }

  private void ask(Endpoint endpoint) {
    log.event(LogEvent.START_UNCLEAR, endpoint.identity());
    startQuestions.accept(endpoint);
  }

  /** Returns an endpoint with the profile of its service; none where no service is named so. */
  private Optional<Endpoint> described(Endpoint endpoint) {
    return endpoint.serves().stream()
        .flatMap(name -> routes.service(name).stream())
        .findFirst()
        .map(endpoint::describedBy);
  }

  private void carryOut(List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.Announce announce) {
        news.accept(announce);
      } else if (action instanceof Action.TellCrashes tell) {
        fleet.crashes(tell.news());
        tell.news().refused().forEach(this::logRefused);
      }
    }
    coordinator.suspects().takeFindings().forEach(this::logFinding);
    exchanges.carryOut(actions, this::refused, true);
  }

  private void logRefused(RefusedRequest refused) {
    String endpoints = String.join(" ", refused.endpoints());
    log.event(LogEvent.REQUEST_ENDS_ENDPOINTS, refused.request(), endpoints);
  }

  private void logFinding(CrashFinding finding) {
    if (findingLines.take(clock.nowMs())) {
      log.event(LogEvent.REQUEST_NOT_TURNED_AWAY, finding.request(), finding.text());
    }
  }

  private void refused(String requestId, Refusal refusal) {
    if (refusal.kind() == RefusalKind.DRAINING && !givingUp) {
      turnedAway = turnedAway + 1;
    }
  }
}
