// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.concurrent.atomic.AtomicLong;
import org.fawndrum.state.HostIdentity;

/** Generates request ids that are unique across hosts and restarts. Safe for all threads. */
final class RequestIds {
  private static final int RADIX = 36;

  private final String prefix;
  private final AtomicLong next = new AtomicLong();

  RequestIds(HostIdentity self) {
    prefix = self.host() + "-" + Long.toString(self.incarnation(), RADIX) + "-";
  }

  String next() {
    return prefix + next.incrementAndGet();
  }
}
