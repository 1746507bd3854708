// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import org.fawndrum.coordination.RequestFacts;

/** Receives the times at which tokens are forwarded to callers. Safe for all threads. */
public interface TokenListener {
  /** Called when {@code count} tokens of a request are forwarded to its caller. */
  void tokensForwarded(RequestFacts facts, int count);
}
