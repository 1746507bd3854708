// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.function.Consumer;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.state.HostIdentity;

/** Forwards events of attempts and callers to the decision duty. Thread-safe. */
record AttemptEventForwarder(Consumer<RelayEvent> decisions)
    implements RelayIntake.AttemptEventListener {
  @Override
  public void onEvent(AttemptId attempt, AttemptEvent event) {
    decisions.accept(new RelayEvent.AttemptChanged(attempt, event));
  }

  @Override
  public void endpointCrashed(AttemptId attempt) {
    decisions.accept(new RelayEvent.EndpointCrashed(attempt));
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
