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
import org.fawndrum.platform.standin.LongStream;
import org.fawndrum.platform.standin.TicketUsage;
import org.fawndrum.platform.wire.ReserveMessage;
import org.fawndrum.state.HostAddress;

/**
 * A stand-in endpoint behind a proxy, with injectable faults. Reports the requests that it runs to
 * the checker. Confined to one event loop.
 */
final class SoakEndpoint implements EndpointStandin.Behaviour {
  /** How long a request runs before it crashes the engine, in milliseconds. */
  private static final long CRASH_DELAY_MS = 50;

  /** How long the engine is down after a crash, in milliseconds. */
  private static final long DOWN_MS = 500;

  /** The backoff that it requests when it rejects requests, in seconds and in milliseconds. */
  private static final String BACKOFF_S = "2";

  private static final long BACKOFF_MS = 2_000;

  /**
   * Events of a stream that is larger than the buffers towards a caller; its proxy keeps it all.
   */
  private static final int WIDE_EVENTS = 100;

  /** Path prefix of long prompts. */
  private static final String LONG_PATH = "/" + Callers.LONG_ROUTE + "/";

  /** Minimum prefill time of a long prompt, in milliseconds; steps are added to it. */
  private static final long MIN_PREFILL_MS = 1_000;

  private static final long PREFILL_STEP_MS = 500;

  /** Difference between the start times of two incarnations, in milliseconds; arbitrary. */
  private static final long INCARNATION_STEP_MS = 1_000;

  private static final int PREFILL_STEPS = 4;

  private final Vertx vertx;
  private final NetClient client;
  private final PromiseChecker checker;
  private final String id;
  private final String service;
  private final String zone;
  private final int events;
  private final EndpointStandin standin;
  private final Consumer<SoakEndpoint> onRestart;
  private FaultProxy proxy;
  private HostAddress ownAddress;
  private HostAddress proxyAddress;
  private boolean losesAnswers;
  private boolean answersTwice;
  private boolean rejects;
  private boolean requestsBackoff;
  private boolean impaired;
  private boolean hung;
  private boolean down;
  private boolean inUse = true;
  private int startCount;
  private final Map<EndpointRun, Boolean> openRuns = new HashMap<>();
  private final List<EndpointRun> completedRuns = new ArrayList<>();

  /**
   * Creates an endpoint that does not listen yet.
   *
   * @param client opens the connections of its proxy
   * @param ticketUsage the ticket usage, shared by all endpoints
   * @param id the name, and the key of its entry in the store
   * @param service the service to which it belongs
   * @param zone its availability zone
   * @param events the number of events in a stream; 0 for plain answers
   * @param onRestart called when it listens again after a crash
   */
  SoakEndpoint(
      Vertx vertx,
      NetClient client,
      PromiseChecker checker,
      TicketUsage ticketUsage,
      String id,
      String service,
      String zone,
      int events,
      Consumer<SoakEndpoint> onRestart) {
    this.vertx = vertx;
    this.client = client;
    this.checker = checker;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.events = events;
    this.onRestart = onRestart;
    this.standin = new EndpointStandin(vertx, id, events, this, ticketUsage);
  }

  /** Starts the endpoint and its proxy. */
  Future<Void> listen() {
    return standin.listen().compose(this::listenProxy);
  }

  private Future<Void> listenProxy(HostAddress address) {
    ownAddress = address;
    proxy = new FaultProxy(vertx, client, address, checker::recordSecondAnswer);
    return proxy
        .listen()
        .map(
            listening -> {
              proxyAddress = listening;
              return null;
            });
  }

  String id() {
    return id;
  }

  /** Returns the endpoint's availability zone. */
  String zone() {
    return zone;
  }

  /** Returns the endpoint's own address, behind the proxy. */
  HostAddress address() {
    return ownAddress;
  }

  /** Returns the address in its entry, that of the proxy. */
  HostAddress entryAddress() {
    return proxyAddress;
  }

  /** Returns the entry for the store, with the address of the proxy. */
  String entry(String state) {
    return standin
        .entry(service, zone, state)
        .replace(ownAddress.toString(), proxyAddress.toString());
  }

  /** Sets the mode of the proxy from now on; has no effect once the endpoint hangs. */
  void setLinkMode(FaultProxy.Mode mode) {
    if (!hung) {
      proxy.mode(mode);
      setImpaired(mode != FaultProxy.Mode.PASS);
    }
  }

  /** Records whether connections to the endpoint, of any host, are impaired. */
  void setImpaired(boolean isNowImpaired) {
    if (isNowImpaired) {
      checker.rates().recordImpaired(id);
      checker.drains().recordImpaired(id);
      checker.starts().recordImpaired(id);
      openRuns.keySet().forEach(EndpointRun::markImpaired);
      checker.notices().recordLinkImpaired(id);
    }
    if (isNowImpaired && !impaired) {
      checker.shutdowns().recordImpairmentStart(Soak.nowMs());
    } else if (impaired && !isNowImpaired) {
      checker.shutdowns().recordImpairmentEnd(Soak.nowMs());
      checker.rates().recordSound(id, Soak.nowMs());
      checker.drains().recordSound(id, Soak.nowMs());
      checker.starts().recordSound(id, Soak.nowMs());
    }
    impaired = isNowImpaired;
  }

  /**
   * Permanently stops answering and leaves its connections open. Its open requests are aborted and
   * its memory is released.
   */
  void hang() {
    dropWork();
    checker.reservations().recordEngineEnd(id, Soak.nowMs());
    setLinkMode(FaultProxy.Mode.DROP_ALL);
    hung = true;
  }

  /** Drops open requests without an answer, leaves connections open and continues to serve. */
  void dropWork() {
    long nowMs = Soak.nowMs();
    openRuns.keySet().forEach(run -> run.abort(nowMs));
    openRuns.clear();
    standin.forgetOpenRequests();
  }

  /** Restarts under the same id without the previous state, as a later incarnation. */
  void restart() {
    dropWork();
    checker.reservations().recordEngineEnd(id, Soak.nowMs());
    checker.notices().recordRestart(id);
    checker.rates().recordNoRate(id);
    checker.starts().recordNoRate(id);
    startCount++;
    standin.restart(standin.startMs() + INCARNATION_STEP_MS);
  }

  /** Accepts a rate only for a time from now on, and says how long in its answers and entry. */
  void startSlowly(long durationMs, double perSecond) {
    int number = ++startCount;
    standin.startSlowly(durationMs);
    checker.starts().recordRate(id, perSecond, Soak.nowMs());
    vertx.setTimer(
        durationMs,
        timer -> {
          if (startCount == number) {
            checker.starts().recordNoRate(id);
          }
        });
  }

  /** Crashes with all open requests, and restarts after a while. */
  private void crash(String path) {
    if (hung || down) {
      return;
    }
    if (!impaired && inUse) {
      checker.crashes().recordCrash(path, Soak.nowMs());
    }
    down = true;
    completedRuns.forEach(run -> run.endpointCrashed(Soak.nowMs()));
    completedRuns.clear();
    restart();
    proxy
        .refuseFor(DOWN_MS)
        .onSuccess(
            v -> {
              down = false;
              onRestart.accept(this);
            });
  }

  /** Sets whether the endpoint is in use as far as hosts can see; crashes count only then. */
  void setInUse(boolean isNowInUse) {
    inUse = isNowInUse;
  }

  /** Signals in each answer that it is shutting down, until it restarts; its entry doesn't. */
  void announceDraining() {
    inUse = false;
    standin.announceDraining();
  }

  /** Sets whether it rejects requests and asks the hosts to back off. */
  void setRequestsBackoff(boolean requests) {
    requestsBackoff = requests;
  }

  /** Names a rate in each answer from now on. */
  void nameRate(String perSecond) {
    checker.rates().recordRate(id, Double.parseDouble(perSecond), Soak.nowMs());
    standin.nameRate(perSecond);
  }

  /** Names no rate any more. */
  void nameNoRate() {
    checker.rates().recordNoRate(id);
    standin.nameRate(null);
  }

  boolean isHung() {
    return hung;
  }

  /** Whether it prefills a long prompt with helper engines and has no fault of its own. */
  boolean prefillsLongPrompt() {
    return !hung && !impaired && openRuns.containsValue(true);
  }

  /** Sets whether it runs requests and closes the connection instead of answering. */
  void setLosesAnswers(boolean loses) {
    losesAnswers = loses;
  }

  /** Sets whether it rejects requests without running them. */
  void setRejects(boolean isRejecting) {
    rejects = isRejecting;
  }

  /** Sets whether it begins second answers on its connections, and fails some requests. */
  void setAnswersTwice(boolean isNowAnsweringTwice) {
    if (!hung) {
      answersTwice = isNowAnsweringTwice;
      proxy.beginSecondAnswers(isNowAnsweringTwice);
      setImpaired(isNowAnsweringTwice);
    }
  }

  @Override
  public void onMemoryCommand(ReserveMessage command) {
    if (command.operation().equals("reserve")) {
      checker.reservations().recordReserved(command.ticket(), id, command.holdMs(), Soak.nowMs());
    } else {
      checker.reservations().recordReleased(command.ticket(), Soak.nowMs());
    }
  }

  @Override
  public boolean answer(EndpointStandin endpoint, HttpServerRequest request, int number) {
    if (down) {
      // The connection is about to be closed by the crash; a crashed endpoint must not answer.
      request.connection().close();
      return true;
    }
    EndpointStandin.ReceivedRequest received = EndpointStandin.received(request);
    EndpointRun run = begin(received.requestId(), request);
    checker.notices().recordArrival(received.requestId(), id, Soak.nowMs());
    checker.rates().recordArrival(received.requestId(), id, Soak.nowMs());
    checker.drains().recordArrival(received.requestId(), id, zone, Soak.nowMs());
    checker.starts().recordArrival(received.requestId(), id, Soak.nowMs());
    if (requestsBackoff) {
      endpoint.rejectWithBackoff(request, BACKOFF_S);
      if (!impaired) {
        checker.notices().recordBackoff(received.requestId(), id, BACKOFF_MS, Soak.nowMs());
      }
      return true;
    }
    if (rejects) {
      endpoint.reject(request);
      return true;
    }
    checker.recordRun(received.requestId(), received.uri(), received.workspace());
    if (request.path().startsWith(Callers.CRASHING_PATH)) {
      checker.crashes().recordRun(received.requestId(), received.uri(), Soak.nowMs());
      vertx.setTimer(CRASH_DELAY_MS, timer -> crash(received.uri()));
      return true;
    }
    if (losesAnswers) {
      run.abort(Soak.nowMs());
      request.connection().close();
      return true;
    }
    if (answersTwice && SecondAnswers.fail(request, id, number)) {
      checker.recordFailedRun(received.requestId());
      return true;
    }
    if (request.path().startsWith(UnreadCallers.PATH)) {
      LongStream.send(request, "seal-" + id, WIDE_EVENTS);
      return true;
    }
    boolean prefills = request.path().startsWith(LONG_PATH) && received.lastEventId() == null;
    if (prefills) {
      long prefillMs = MIN_PREFILL_MS + number % PREFILL_STEPS * PREFILL_STEP_MS;
      BooleanSupplier remembered = standin.rememberedSince();
      vertx.setTimer(prefillMs, timer -> answerLate(endpoint, request, remembered));
    }
    return prefills;
  }

  private void answerLate(
      EndpointStandin endpoint, HttpServerRequest request, BooleanSupplier remembered) {
    if (remembered.getAsBoolean() && !request.response().closed()) {
      endpoint.answer(request, events);
    }
  }

  private EndpointRun begin(String requestId, HttpServerRequest request) {
    List<String> tickets = TicketUsage.ticketsOf(request.getHeader("Helpers"));
    EndpointRun run = checker.recordArrival(requestId, tickets);
    if (impaired) {
      run.markImpaired();
    }
    openRuns.put(run, !tickets.isEmpty());
    HttpServerResponse response = request.response();
    standin.onHeadersEnd(
        response,
        () -> {
          if (response.getStatusCode() == PromiseChecker.SUCCESS) {
            run.responseStarted();
          }
        });
    response.endHandler(v -> complete(run));
    response.closeHandler(v -> complete(run));
    return run;
  }

  private void complete(EndpointRun run) {
    openRuns.remove(run);
    run.complete(Soak.nowMs());
    completedRuns.add(run);
  }
}
