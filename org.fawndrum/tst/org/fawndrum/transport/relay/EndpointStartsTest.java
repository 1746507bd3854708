// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.coordination.limit.StartingEndpoints;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.state.CallerLimits;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.RouteTable;
import org.fawndrum.state.ServiceProfile;
import org.junit.jupiter.api.Test;

/**
 * Verifies which endpoints start, by zone and name, and that decisions hear of each begin and end:
 * while the store is down, no entry says that a start is over, and requests would wait on.
 */
class EndpointStartsTest {
  private static final Endpoint FIRST = endpoint("e-1", "zone-a");
  private static final Endpoint SECOND = endpoint("e-2", "zone-b");

  private long nowMs = 1_000;
  private final List<RelayEvent> events = new ArrayList<>();
  private final Deque<Runnable> timers = new ArrayDeque<>();
  private final StartingEndpoints starting = new StartingEndpoints();
  private final EndpointStarts starts =
      new EndpointStarts(
          starting,
          events::add,
          (delayMs, step) -> timers.add(step),
          () -> nowMs,
          new MetricRegistry(),
          new HostLog("test"));

  EndpointStartsTest() {
    ServiceProfile service = new ServiceProfile("pool", 1, Optional.empty(), 3_000, 17);
    CallerLimits limits = new CallerLimits(1, 1, 1, 1);
    starts.routesChanged(new RouteTable(1, List.of(), List.of(service), Map.of(), true, limits));
    starts.listingChanged(new HostListing(1, List.of(FIRST, SECOND), Set.of(), List.of()));
  }

  private static Endpoint endpoint(String name, String zone) {
    return new Endpoint(
        new HostIdentity(name, 1),
        zone,
        EndpointKind.PLAIN,
        new HostAddress("127.0.0.1", 1),
        Set.of("pool"),
        0);
  }

  @Test
  void endpointsOfAZoneThatIsTakenBackStartAndEndWithoutAnEntry() {
    starts.zonesTakenBack(Set.of("zone-b"));
    assertEquals(List.of("e-2"), starting.limited(nowMs));
    assertEquals(1, events.size());
    nowMs = 3_999;
    timers.remove().run();
    assertEquals(1, events.size());
    nowMs = 4_000;
    timers.remove().run();
    assertEquals(2, events.size(), "its end is not noticed");
    assertTrue(timers.isEmpty(), "costs something while nobody starts");
  }

  @Test
  void aRestartAndAnAnswerCountForListedEndpoints() {
    starts.restarted(new HostIdentity("e-1", 2));
    starts.answered(new HostIdentity("e-2", 1), 500);
    starts.restarted(new HostIdentity("unlisted", 2));
    assertEquals(Set.of("e-1", "e-2"), Set.copyOf(starting.limited(nowMs)));
    assertEquals(2, events.size());
    assertEquals(1, timers.size());
  }

  @Test
  void repeatedNewsOfOneStartAreOneEvent() {
    starts.entryRead(FIRST, 3_000);
    starts.entryRead(FIRST, 2_000);
    starts.answered(FIRST.identity(), 1_500);
    assertEquals(1, events.size());
  }
}
