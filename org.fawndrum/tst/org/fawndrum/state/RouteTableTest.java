// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.fawndrum.state.Route.WeightedService;
import org.junit.jupiter.api.Test;

/** Routes match by host and longest path prefix; services receive requests by weight. */
class RouteTableTest {
  private static Route route(String name, String host, String prefix, RouteKind kind) {
    return new Route(
        name,
        host,
        prefix,
        kind,
        false,
        1_000,
        LatencyTargets.NONE,
        1,
        false,
        List.of(new WeightedService("one", 3), new WeightedService("two", 1)));
  }

  private final RouteTable table =
      new RouteTable(
          1,
          List.of(
              route("short", "a.example", "/x/", RouteKind.SAFE),
              route("long", "a.example", "/x/y/", RouteKind.UNSAFE),
              route("other", "b.example", "/", RouteKind.STREAM)),
          List.of(),
          Map.of(),
          true,
          new CallerLimits(1, 1, 1, 1));

  private String matchingRoute(String host, String path) {
    return table.route(host, path).map(Route::name).orElse("none");
  }

  @Test
  void longestMatchingPrefixOfTheHostWins() {
    assertEquals("short", matchingRoute("a.example", "/x/z"));
    assertEquals("long", matchingRoute("a.example", "/x/y/z"));
    assertEquals("none", matchingRoute("a.example", "/x"));
    assertEquals("none", matchingRoute("c.example", "/x/"));
    assertEquals("none", matchingRoute(null, "/x/"));
  }

  @Test
  void hostComparisonIgnoresPortAndCase() {
    assertEquals("other", matchingRoute("B.Example:8080", "/anything"));
  }

  @Test
  void servicesReceiveRequestsByWeight() {
    Route route = table.routes().get(0);
    assertEquals("one", route.service(0));
    assertEquals("one", route.service(0.74));
    assertEquals("two", route.service(0.76));
    assertEquals("two", route.service(0.999));
  }

  @Test
  void onlySafeRoutesAndResumableStreamsAreRepeatable() {
    assertTrue(route("r", "h", "/", RouteKind.SAFE).repeatable());
    assertFalse(route("r", "h", "/", RouteKind.UNSAFE).repeatable());
    assertFalse(route("r", "h", "/", RouteKind.STREAM).repeatable());
  }
}
