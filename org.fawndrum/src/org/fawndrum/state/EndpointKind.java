// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/** Kind of an endpoint. */
public enum EndpointKind {
  /** A model engine that batches streams. */
  MODEL,
  /** A plain service; some of its requests must not be repeated. */
  PLAIN
}
