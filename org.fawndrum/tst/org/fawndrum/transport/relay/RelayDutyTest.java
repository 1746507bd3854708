// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.EarnedRetryBudget;
import org.fawndrum.coordination.Policies;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.RequestTarget;
import org.fawndrum.coordination.engine.EngineJob;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.CallerLimits;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.EngineProfile;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.LatencyTargets;
import org.fawndrum.state.Route;
import org.fawndrum.state.Route.WeightedService;
import org.fawndrum.state.RouteKind;
import org.fawndrum.state.RouteTable;
import org.fawndrum.state.ServiceProfile;
import org.fawndrum.state.Workspace;
import org.fawndrum.transport.Exchange;
import org.junit.jupiter.api.Test;

/** How the decision duty handles the endpoints' entries and peers' reports about endpoints. */
class RelayDutyTest {
  private static final long TIMEOUT_S = 20;
  private static final HostIdentity SELF = new HostIdentity("host-1", 1);
  private static final LatencyTargets TARGETS = new LatencyTargets(2_500, 1_000, 2);

  private final BlockingQueue<String> actions = new LinkedBlockingQueue<>();
  private final RelayDuty duty =
      new RelayDuty(
          new RequestCoordinator(
              SELF,
              "zone-a",
              Policies.engineModel(new EarnedRetryBudget(0.1, 10), () -> false, Set::of)),
          () -> 1_000,
          decision -> {},
          update -> {},
          new NoOpEndpointEventPublisher(),
          endpoint -> {},
          new HostLog("test"));

  /** An exchange that records the actions executed on it. */
  private final class RecordingExchange implements Exchange {
    @Override
    public void send(Action.Send send) {
      actions.add("send to " + send.endpoint().identity());
    }

    @Override
    public void cancel(Action.Cancel cancel) {
      actions.add("cancel");
    }

    @Override
    public void refuse(Refusal refusal) {
      actions.add("refuse");
    }

    @Override
    public void runOnLoop(Runnable step) {
      step.run();
    }

    @Override
    public boolean anyRequestSent() {
      return false;
    }
  }

  private static RouteTable routes(String service) {
    EngineProfile engine =
        new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
    Route route =
        new Route(
            "ask",
            "desk.example",
            "/ask/",
            RouteKind.STREAM,
            true,
            60_000,
            TARGETS,
            1,
            true,
            List.of(new WeightedService("pool", 1)));
    return new RouteTable(
        1,
        List.of(route),
        List.of(new ServiceProfile(service, 100, Optional.of(engine))),
        Map.of(),
        false,
        new CallerLimits(4_096, 65_536, 1_000, 15_000));
  }

  private void startDuty(String service, String entryNames) {
    duty.start();
    RouteTable routes = routes(service);
    duty.offer(new RelayEvent.RoutesChanged(routes, RouteRows.of(routes)));
    Endpoint engine =
        new Endpoint(
            new HostIdentity("e-1", 1),
            "zone-a",
            EndpointKind.MODEL,
            new HostAddress("127.0.0.1", 9_000),
            Set.of(entryNames),
            0);
    duty.offer(
        new RelayEvent.ListingChanged(new HostListing(1, List.of(engine), Set.of(), List.of())));
  }

  private void offerRequest() {
    RequestFacts facts =
        new RequestFacts(
            "r-1",
            new CallerGroup(Workspace.ANONYMOUS.name(), "ask"),
            new RequestTarget(EndpointKind.MODEL, "pool"),
            5_000,
            100,
            1_000,
            0,
            true,
            List.of(),
            TARGETS);
    duty.offerRequest(new RelayEvent.RequestArrived(facts), new RecordingExchange());
  }

  private String nextAction() throws InterruptedException {
    return actions.poll(TIMEOUT_S, TimeUnit.SECONDS);
  }

  @Test
  void workPlacedByAPeerRevealsARestart() throws Exception {
    startDuty("pool", "pool");
    offerRequest();
    assertEquals("send to e-1#1", nextAction());
    HostIdentity later = new HostIdentity("e-1", 2);
    EngineJob job = new EngineJob(7, later, 1_000, 1_000, 1, true, TARGETS, 1_000);
    HostIdentity other = new HostIdentity("host-2", 1);
    FleetReport report =
        new FleetReport(
            other, Optional.empty(), 1, "", false, List.of(new EngineUpdate.Placed(job)));
    duty.offer(new RelayEvent.ReportsReceived(List.of(report)));
    assertEquals("cancel", nextAction());
    assertEquals("send to e-1#2", nextAction());
  }

  @Test
  void endpointThatReportsARestartIsUsedAsANewIncarnation() throws Exception {
    startDuty("pool", "pool");
    offerRequest();
    assertEquals("send to e-1#1", nextAction());
    duty.offer(new RelayEvent.EndpointRestarted(new HostIdentity("e-1", 2)));
    assertEquals("cancel", nextAction());
    assertEquals("send to e-1#2", nextAction());
  }

  @Test
  void entryOfAnUnknownServiceIsUnusable() throws Exception {
    startDuty("other", "pool");
    offerRequest();
    assertEquals("refuse", nextAction());
  }
}
