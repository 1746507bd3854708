// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.net.NetClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.fawndrum.platform.standin.EndpointStandin;
import org.fawndrum.platform.standin.TicketUses;
import org.fawndrum.platform.wire.ReserveMessage;
import org.fawndrum.state.HostAddress;

/**
 * An endpoint behind a proxy, with the faults that it may have. What it runs is written into the
 * ledger. Confined to one event loop.
 */
final class SoakEndpoint implements EndpointStandin.Behaviour {
  private static final String ZONE = "zone-a";

  /** How long a request that ends engines runs before, and the engine is gone, in milliseconds. */
  private static final long DEADLY_MS = 50;

  private static final long GONE_MS = 500;

  /** The rest that it asks for when it turns requests away, in seconds and in milliseconds. */
  private static final String REST = "2";

  private static final long REST_MS = 2_000;

  /** What the paths of long prompts begin with. */
  private static final String LONG = "/" + Callers.LONG + "/";

  /** How long an engine reads a long prompt, in milliseconds: from the shortest up, in steps. */
  private static final long SHORTEST_READ_MS = 1_000;

  private static final long READ_STEP_MS = 500;

  /** The time between two starts that it tells, in milliseconds; any would do. */
  private static final long RESTART_MS = 1_000;

  private static final int READ_STEPS = 4;

  private final Vertx vertx;
  private final NetClient client;
  private final Ledger ledger;
  private final String id;
  private final String service;
  private final int events;
  private final EndpointStandin standin;
  private final Consumer<SoakEndpoint> back;
  private FaultProxy link;
  private HostAddress at;
  private HostAddress linkAt;
  private boolean losesAnswers;
  private boolean sheds;
  private boolean asksForRest;
  private boolean harmed;
  private boolean silent;
  private boolean gone;
  private boolean inUse = true;
  private final Map<EndpointRun, Boolean> open = new HashMap<>();
  private final List<EndpointRun> answered = new ArrayList<>();

  /**
   * Makes an endpoint that does not listen yet.
   *
   * @param client opens the connections of its proxy
   * @param uses shared by all endpoints
   * @param id its name, and the key of its record in the store
   * @param service the service that it belongs to
   * @param events how many events it streams; 0 for plain answers
   * @param back hears when it listens again after a crash
   */
  SoakEndpoint(
      Vertx vertx,
      NetClient client,
      Ledger ledger,
      TicketUses uses,
      String id,
      String service,
      int events,
      Consumer<SoakEndpoint> back) {
    this.vertx = vertx;
    this.client = client;
    this.ledger = ledger;
    this.id = id;
    this.service = service;
    this.events = events;
    this.back = back;
    this.standin = new EndpointStandin(vertx, id, events, this, uses);
  }

  /** Listens, with its proxy. */
  Future<Void> listen() {
    return standin.listen().compose(this::listenBefore);
  }

  private Future<Void> listenBefore(HostAddress address) {
    at = address;
    link = new FaultProxy(vertx, client, address);
    return link.listen()
        .map(
            proxyAddress -> {
              linkAt = proxyAddress;
              return null;
            });
  }

  String id() {
    return id;
  }

  /** Returns where it listens itself, behind its proxy. */
  HostAddress address() {
    return at;
  }

  /** Returns its record in the store, which names the address of its proxy. */
  String entry(String state) {
    return standin.entry(service, ZONE, state).replace(at.toString(), linkAt.toString());
  }

  /** Chooses what happens to the bytes of its connections from now on. */
  void link(FaultProxy.Mode mode) {
    if (!silent) {
      link.mode(mode);
      setHarmed(mode != FaultProxy.Mode.PASS);
    }
  }

  private void setHarmed(boolean isHarmed) {
    if (isHarmed) {
      open.keySet().forEach(EndpointRun::harmed);
      ledger.notices().linkHarmed(id);
    }
    if (isHarmed && !harmed) {
      ledger.stops().harmBegan(Soak.nowMs());
    } else if (harmed && !isHarmed) {
      ledger.stops().harmEnded(Soak.nowMs());
    }
    harmed = isHarmed;
  }

  /**
   * Answers nothing any more, for good, and leaves its connections open. Its memory is gone, and
   * what it worked on is over.
   */
  void fallSilent() {
    forget();
    ledger.memory().gone(id, Soak.nowMs());
    link(FaultProxy.Mode.SILENT);
    silent = true;
  }

  /** Drops what it works on and leaves the connections open without an answer; it serves on. */
  void forget() {
    long nowMs = Soak.nowMs();
    open.keySet().forEach(run -> run.brokenOff(nowMs));
    open.clear();
    standin.forget();
  }

  /** Starts again under its id: it holds and knows nothing of before, and tells a later start. */
  void startAgain() {
    forget();
    ledger.memory().gone(id, Soak.nowMs());
    ledger.notices().over(id);
    standin.startAgain(standin.bornMs() + RESTART_MS);
  }

  /** Ends with all that it runs, and is back after a while. */
  private void crash(String path) {
    if (silent || gone) {
      return;
    }
    if (!harmed && inUse) {
      ledger.crashes().crashed(path, Soak.nowMs());
    }
    gone = true;
    answered.forEach(run -> run.endpointEnded(Soak.nowMs()));
    answered.clear();
    startAgain();
    link.refuse(GONE_MS)
        .onSuccess(
            v -> {
              gone = false;
              back.accept(this);
            });
  }

  /** Chooses whether its entry says that it may be used. */
  void inUse(boolean isInUse) {
    inUse = isInUse;
  }

  /** Says in every answer that it leaves, until it starts again; its entry does not say it. */
  void sayLeaving() {
    inUse = false;
    standin.sayLeaving();
  }

  /** Chooses whether it turns requests away and asks their hosts for rest. */
  void asksForRest(boolean asks) {
    asksForRest = asks;
  }

  boolean isSilent() {
    return silent;
  }

  /** Tells whether it reads a long prompt with memory of others, and is sound. */
  boolean readsLongPrompt() {
    return !silent && !harmed && open.containsValue(true);
  }

  /** Chooses whether it runs requests and closes the connection instead of answering. */
  void losesAnswers(boolean loses) {
    losesAnswers = loses;
  }

  /** Chooses whether it turns requests away without running them. */
  void sheds(boolean turnsAway) {
    sheds = turnsAway;
  }

  @Override
  public void ordered(ReserveMessage order) {
    if (order.operation().equals("reserve")) {
      ledger.memory().reserved(order.ticket(), id, order.holdMs(), Soak.nowMs());
    } else {
      ledger.memory().released(order.ticket(), Soak.nowMs());
    }
  }

  @Override
  public boolean answer(EndpointStandin endpoint, HttpServerRequest request, int number) {
    if (gone) {
      // It came over a connection that is about to break; nobody is there any more.
      request.connection().close();
      return true;
    }
    EndpointStandin.Seen seen = EndpointStandin.seen(request);
    EndpointRun run = begin(seen.requestId(), request);
    ledger.notices().arrived(seen.requestId(), id, Soak.nowMs());
    if (asksForRest) {
      endpoint.turnAwayFor(request, REST);
      if (!harmed) {
        ledger.notices().askedForRest(seen.requestId(), id, REST_MS, Soak.nowMs());
      }
      return true;
    }
    if (sheds) {
      endpoint.turnAway(request);
      return true;
    }
    ledger.ran(seen.requestId(), seen.uri(), seen.workspace());
    if (request.path().startsWith(Callers.DEADLY)) {
      ledger.crashes().ran(seen.requestId(), seen.uri(), Soak.nowMs());
      vertx.setTimer(DEADLY_MS, timer -> crash(seen.uri()));
      return true;
    }
    if (losesAnswers) {
      run.brokenOff(Soak.nowMs());
      request.connection().close();
      return true;
    }
    boolean reads = request.path().startsWith(LONG) && seen.lastEventId() == null;
    if (reads) {
      long readMs = SHORTEST_READ_MS + number % READ_STEPS * READ_STEP_MS;
      BooleanSupplier remembered = standin.remembered();
      vertx.setTimer(readMs, timer -> answerLate(endpoint, request, remembered));
    }
    return reads;
  }

  private void answerLate(
      EndpointStandin endpoint, HttpServerRequest request, BooleanSupplier remembered) {
    if (remembered.getAsBoolean() && !request.response().closed()) {
      endpoint.answer(request, events);
    }
  }

  private EndpointRun begin(String requestId, HttpServerRequest request) {
    List<String> tickets = TicketUses.tickets(request.getHeader("Helpers"));
    EndpointRun run = ledger.arrived(requestId, tickets);
    if (harmed) {
      run.harmed();
    }
    open.put(run, !tickets.isEmpty());
    HttpServerResponse response = request.response();
    standin.whenHeadEnds(
        response,
        () -> {
          if (response.getStatusCode() == Ledger.SUCCESS) {
            run.answerBegan();
          }
        });
    response.endHandler(v -> end(run));
    response.closeHandler(v -> end(run));
    return run;
  }

  private void end(EndpointRun run) {
    open.remove(run);
    run.over(Soak.nowMs());
    answered.add(run);
  }
}
