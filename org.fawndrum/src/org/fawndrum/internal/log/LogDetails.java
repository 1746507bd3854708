// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.log;

/**
 * Named values of a log line, for programs that read it. Implementations are immutable and are
 * written as JSON.
 */
public interface LogDetails {
  /** Returns the id of the request that the line concerns, or null. */
  String requestId();
}
