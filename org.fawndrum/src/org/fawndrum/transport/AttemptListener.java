// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;

/** Receives the events of attempts. Called on event loops; must not block. */
public interface AttemptListener {
  /** Handles one event. The events of one attempt arrive in the order in which they occurred. */
  void onEvent(AttemptId attempt, AttemptEvent event);
}
