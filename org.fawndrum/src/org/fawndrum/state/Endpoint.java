// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.Optional;
import java.util.Set;

/**
 * A back end as the platform's host list describes it. Immutable.
 *
 * @param identity its name and incarnation
 * @param zone its availability zone
 * @param kind model engine or plain service
 * @param address its listen address
 * @param serves the models or the plain services that it serves
 * @param memoryTokens cache memory of a model engine in tokens; 0 for a plain service
 * @param engine performance profile of a model engine; empty if not configured
 */
public record Endpoint(
    HostIdentity identity,
    String zone,
    EndpointKind kind,
    HostAddress address,
    Set<String> serves,
    long memoryTokens,
    Optional<EngineProfile> engine) {
  /** Incarnation of an endpoint that does not report its start time. */
  public static final long UNKNOWN_INCARNATION = 0;

  /** Makes a defensive copy of the served names. */
  public Endpoint {
    serves = Set.copyOf(serves);
  }

  /** Creates an endpoint without a performance profile. */
  public Endpoint(
      HostIdentity identity,
      String zone,
      EndpointKind kind,
      HostAddress address,
      Set<String> serves,
      long memoryTokens) {
    this(identity, zone, kind, address, serves, memoryTokens, Optional.empty());
  }

  /** Returns the endpoint's name, which is the same for all its incarnations. */
  public String name() {
    return identity.host();
  }

  /** Returns the endpoint's incarnation. */
  public long incarnation() {
    return identity.incarnation();
  }

  /** Returns this endpoint with the kind, memory and performance of its service's profile. */
  public Endpoint withProfile(ServiceProfile profile) {
    long memory = profile.engine().map(EngineProfile::memoryTokens).orElse(0L);
    return new Endpoint(identity, zone, profile.kind(), address, serves, memory, profile.engine());
  }

  /** Returns this endpoint with the given incarnation. */
  public Endpoint withIncarnation(long incarnation) {
    if (incarnation == incarnation()) {
      return this;
    }
    HostIdentity other = new HostIdentity(identity.host(), incarnation);
    return new Endpoint(other, zone, kind, address, serves, memoryTokens, engine);
  }
}
