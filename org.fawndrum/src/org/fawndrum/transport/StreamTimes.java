// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import org.fawndrum.coordination.RequestFacts;

/** Is told when tokens pass, for the histograms. Safe for all threads. */
public interface StreamTimes {
  /** Takes note that tokens of a request were handed on. */
  void tokens(RequestFacts facts, int count);
}
