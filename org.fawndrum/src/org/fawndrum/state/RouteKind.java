// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/** Whether the requests of a route may be repeated. */
public enum RouteKind {
  /** Idempotent requests, which may run any number of times. */
  SAFE,
  /** Requests that must not be repeated: they run at most once. */
  UNSAFE,
  /** Requests answered by an event stream; run at most once unless the route allows resuming. */
  STREAM
}
