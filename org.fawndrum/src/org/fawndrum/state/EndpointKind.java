// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/** What an endpoint is. */
public enum EndpointKind {
  /** A model engine that batches streams. */
  MODEL,
  /** A plain service, some of whose calls may not be repeated. */
  PLAIN
}
