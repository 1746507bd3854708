// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.Optional;
import java.util.Set;

/**
 * A back end as the platform's host list describes it.
 *
 * @param identity its name and incarnation
 * @param zone its availability zone
 * @param kind model engine or plain service
 * @param address where it listens
 * @param serves the models or the plain services that it serves
 * @param memoryTokens cache memory of a model engine in tokens; 0 for a plain service
 * @param engine how fast the engine works, where its operator says so
 */
public record Endpoint(
    HostIdentity identity,
    String zone,
    EndpointKind kind,
    HostAddress address,
    Set<String> serves,
    long memoryTokens,
    Optional<EngineProfile> engine) {
  /** The incarnation of an endpoint that does not tell when it started. */
  public static final long START_NOT_TOLD = 0;

  /** Copies the served names, so that the endpoint cannot change. */
  public Endpoint {
    serves = Set.copyOf(serves);
  }

  /** Makes an endpoint whose speed nobody told. */
  public Endpoint(
      HostIdentity identity,
      String zone,
      EndpointKind kind,
      HostAddress address,
      Set<String> serves,
      long memoryTokens) {
    this(identity, zone, kind, address, serves, memoryTokens, Optional.empty());
  }

  /** Returns the endpoint's name, the same over its incarnations. */
  public String name() {
    return identity.host();
  }

  /** Returns the endpoint's incarnation. */
  public long incarnation() {
    return identity.incarnation();
  }

  /** Returns this endpoint with what the profile of its service says. */
  public Endpoint describedBy(ServiceProfile profile) {
    long memory = profile.engine().map(EngineProfile::memoryTokens).orElse(0L);
    return new Endpoint(identity, zone, profile.kind(), address, serves, memory, profile.engine());
  }

  /** Returns this endpoint as another of its incarnations. */
  public Endpoint at(long incarnation) {
    if (incarnation == incarnation()) {
      return this;
    }
    HostIdentity other = new HostIdentity(identity.host(), incarnation);
    return new Endpoint(other, zone, kind, address, serves, memoryTokens, engine);
  }
}
