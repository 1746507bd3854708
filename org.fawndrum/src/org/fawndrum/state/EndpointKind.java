// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/** Kind of an endpoint. */
public enum EndpointKind {
  /** A model engine that batches streams. */
  MODEL,
  /** A plain service; some of its calls may not be repeated. */
  PLAIN
}
