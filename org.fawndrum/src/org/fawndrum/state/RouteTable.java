// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One revision of the operators' configuration: routes, services, workspaces with their keys, and
 * limits. Immutable; a request uses the same revision from start to completion.
 */
public final class RouteTable {
  /** Maximum size of a request body until the first configuration is read, in bytes. */
  private static final long DEFAULT_MAX_BODY_BYTES = 1 << 20;

  /** Empty table with default limits, in force until the first configuration is read. */
  public static final RouteTable NONE =
      new RouteTable(
          -1,
          List.of(),
          List.of(),
          Map.of(),
          true,
          new CallerLimits(16_384, DEFAULT_MAX_BODY_BYTES, 3_000, 15_000));

  private final long revision;
  private final List<Route> routes;
  private final Map<String, List<Route>> byHost = new HashMap<>();
  private final Map<String, ServiceProfile> services = new HashMap<>();
  private final Map<String, Workspace> workspaces;
  private final boolean needsKeys;
  private final CallerLimits limits;

  /**
   * Creates a revision.
   *
   * @param revision the revision number, which rises
   * @param workspaces the workspaces by their keys
   * @param needsKeys whether callers must send a key
   */
  public RouteTable(
      long revision,
      List<Route> routes,
      List<ServiceProfile> services,
      Map<String, Workspace> workspaces,
      boolean needsKeys,
      CallerLimits limits) {
    this.revision = revision;
    this.routes = List.copyOf(routes);
    this.workspaces = Map.copyOf(workspaces);
    this.needsKeys = needsKeys;
    this.limits = limits;
    services.forEach(service -> this.services.put(service.name(), service));
    for (Route route : this.routes) {
      byHost.computeIfAbsent(hostKey(route.host()), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    byHost.values().forEach(list -> list.sort(longestFirst));
  }

  private static String hostKey(String host) {
    int port = host.lastIndexOf(':');
    return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
  }

  /** Returns the number of this revision; -1 until the first one is read. */
  public long revision() {
    return revision;
  }

  /** Returns all routes. */
  public List<Route> routes() {
    return routes;
  }

  /** Returns the route for a host and path; the longest matching prefix wins. */
  public Optional<Route> route(String host, String path) {
    if (host == null) {
      return Optional.empty();
    }
    return byHost.getOrDefault(hostKey(host), List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  /** Returns the service of the given name. */
  public Optional<ServiceProfile> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services. */
  public Collection<ServiceProfile> services() {
    return Collections.unmodifiableCollection(services.values());
  }

  /** Whether callers must send a key. */
  public boolean needsKeys() {
    return needsKeys;
  }

  /** Returns the workspaces by key. */
  public Map<String, Workspace> workspaces() {
    return workspaces;
  }

  /** Returns the limits for callers. */
  public CallerLimits limits() {
    return limits;
  }
}
