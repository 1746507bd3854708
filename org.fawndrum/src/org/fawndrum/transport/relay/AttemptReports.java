// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.function.Consumer;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.state.HostIdentity;

/** Tells the decisions what happens to attempts and callers. Safe for all threads. */
record AttemptReports(Consumer<RelayEvent> decisions) implements RelayIntake.Attempts {
  @Override
  public void happened(AttemptId attempt, AttemptEvent event) {
    decisions.accept(new RelayEvent.Attempted(attempt, event));
  }

  @Override
  public void endpointEnded(AttemptId attempt) {
    decisions.accept(new RelayEvent.EndpointEnded(attempt));
  }

  @Override
  public void helperRefused(AttemptId attempt, HostIdentity helper) {
    decisions.accept(new RelayEvent.HelperRefused(attempt, helper));
  }

  @Override
  public void callerGone(String requestId) {
    decisions.accept(new RelayEvent.CallerGone(requestId));
  }
}
