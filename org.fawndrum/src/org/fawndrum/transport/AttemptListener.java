// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;

/** Is told what happens to attempts. Called on event loops; must not block. */
public interface AttemptListener {
  /** Takes one event; the order for one attempt is the order of the calls. */
  void happened(AttemptId attempt, AttemptEvent event);
}
