// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.log;

/**
 * Named values of a log line, for programs that read the log. Implementations are immutable; the
 * JSON log format writes them as an object.
 */
public interface LogDetails {
  /** Returns the id of the request that the line is about, or null when it is about none. */
  String requestId();
}
