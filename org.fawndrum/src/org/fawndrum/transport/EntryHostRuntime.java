// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.coordination.Policies;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.OperatorMessages.Status;
import org.fawndrum.settings.HostSettings;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.TableRevision;

/**
 * A whole entry host: servers, followers and the thread that decides, wired together. A daemon is
 * this class with settings and signals around it.
 */
public final class EntryHostRuntime {
  private static final long AGAIN_MS = 1;
  private static final long DRAIN_LOOK_MS = 100;
  private static final long READ_WAIT_MS = 500;

  private final Vertx vertx;
  private final HostSettings settings;
  private final HostIdentity self;
  private final HostLog log = new HostLog("org.fawndrum.host");
  private final TableStore tables = new TableStore();
  private final RequestMetrics metrics;
  private final DecisionFeed feed;
  private final DecisionDuty decisions;
  private final LogFollower follower;
  private final EndpointWatch watch;
  private final CallerServer callers;
  private final OperatorServer operators;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile boolean draining;
  private volatile boolean sawReady;

  /**
   * Makes a host that has not started.
   *
   * @param vertx runs its servers; closed by the caller
   * @param settings its checked settings
   * @param clock its clock
   * @param incarnation grows with each start on this host
   */
  public EntryHostRuntime(Vertx vertx, HostSettings settings, HostClock clock, long incarnation) {
    this.vertx = vertx;
    this.settings = settings;
    this.self = new HostIdentity(settings.host(), incarnation);
    this.metrics = new RequestMetrics(new MetricRegistry(), clock);
    this.feed = new DecisionFeed(metrics, log);
    RequestCoordinator coordinator =
        new RequestCoordinator(self, settings.zone(), Policies.standard());
    this.decisions =
        new DecisionDuty(
            coordinator, clock, settings.limits().ringEvents(), feed::accept, leaving -> {}, log);
    HttpPlatform platform = new HttpPlatform(vertx, settings.platform(), READ_WAIT_MS);
    this.follower = new LogFollower(platform, tables, registered -> {}, log);
    EngineCalls engines = new EngineCalls(vertx, settings.limits().endpointSilenceMs());
    this.watch = new EndpointWatch(vertx, platform, engines, decisions);
    ExchangeFactory exchanges = new ExchangeFactory(vertx, engines, this::attempted, metrics);
    RequestIds ids = new RequestIds(self);
    RequestIntake intake =
        new RequestIntake(vertx, settings.limits(), clock, tables, decisions, exchanges);
    this.callers = new CallerServer(vertx, settings, ids, intake);
    this.operators =
        new OperatorServer(
            vertx, settings, platform, tables, feed, metrics, this::status, this::drain, log);
    tables.onNewer(this::tableChanged);
  }

  /** Starts everything; fails when an address cannot be had. */
  public Future<Void> start() {
    feed.start();
    decisions.start();
    return operators
        .listen()
        .compose(server -> callers.listen())
        .map(
            server -> {
              follower.start();
              watch.start();
              log.event(LogEvent.HOST_STARTED, self, settings.zone());
              return null;
            });
  }

  /** Returns the port of the callers' address. */
  public int callerPort() {
    return callers.port();
  }

  /** Returns the port of the operators' address. */
  public int operatorPort() {
    return operators.port();
  }

  private void attempted(AttemptId attempt, AttemptEvent event) {
    offerSurely(new HostEvent.Attempted(attempt, event));
  }

  /** Events about work already taken must not be lost: when the ring is full, they come again. */
  private void offerSurely(HostEvent event) {
    if (!decisions.offer(event)) {
      log.event(LogEvent.RING_REFUSED, "decisions");
      vertx.setTimer(AGAIN_MS, id -> offerSurely(event));
    }
  }

  private void tableChanged(TableRevision table) {
    offerSurely(new HostEvent.TableChanged(table));
    log.event(LogEvent.TABLE_IN_FORCE, Long.toString(table.revision()));
  }

  /** Stops admitting and gives a future that completes when the last request has its answer. */
  public CompletableFuture<Void> drain() {
    if (!draining) {
      draining = true;
      log.event(LogEvent.DRAIN_BEGAN, Integer.toString(decisions.view().open()));
      offerSurely(new HostEvent.DrainOrdered());
      vertx.setPeriodic(DRAIN_LOOK_MS, this::lookIfDrained);
    }
    return drained;
  }

  private void lookIfDrained(long timer) {
    boolean settled = decisions.ring().size() == 0 && decisions.view().open() == 0;
    if (settled && vertx.cancelTimer(timer)) {
      log.event(LogEvent.DRAIN_ENDED);
      drained.complete(null);
    }
  }

  /** Tells whether a planned stop has begun. */
  public boolean draining() {
    return draining;
  }

  /** Returns how the host stands. */
  public Status status() {
    DecisionDuty.View view = decisions.view();
    TableRevision table = tables.table();
    return new Status(
        self.host(),
        self.incarnation(),
        settings.zone(),
        Versions.own(),
        state(),
        follower.platformUp(),
        table.revision(),
        table.position(),
        view.open(),
        view.waiting(),
        false,
        view.endpoints().stream().map(Endpoint::name).sorted().toList(),
        view.leaving().stream().map(HostIdentity::toString).sorted().toList(),
        decisions.ring().refused() + feed.notShown(),
        List.of());
  }

  private String state() {
    if (draining) {
      return drained.isDone() ? "drained" : "draining";
    }
    boolean ready = tables.table().revision() >= 0 && !decisions.view().endpoints().isEmpty();
    if (ready && !sawReady) {
      sawReady = true;
      log.event(
          LogEvent.HOST_READY,
          Long.toString(tables.table().revision()),
          Integer.toString(decisions.view().endpoints().size()));
    }
    return ready ? "ready" : "starting";
  }

  /** Ends everything at once; requests in progress are cut. */
  public Future<Void> close() {
    watch.stop();
    return callers
        .close()
        .eventually(() -> operators.close())
        .eventually(
            () ->
                vertx.executeBlocking(
                    () -> {
                      follower.close();
                      decisions.close();
                      feed.close();
                      return null;
                    }));
  }
}
