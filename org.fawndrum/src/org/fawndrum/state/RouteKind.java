// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/** How often the requests of a route may run. */
public enum RouteKind {
  /** May run any number of times. */
  SAFE,
  /** May run at most once. */
  UNSAFE,
  /** Answers with a series of events; may run at most once unless the route lets it resume. */
  STREAM
}
