// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.io.IOException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.state.HostIdentity;

/** Logs what a host's start took until it could serve callers, and counts its archives. */
final class StartLog {
  private static final String UNKNOWN = "unknown";

  private final HostIdentity self;
  private final HostLog log;
  private volatile int classArchives;

  StartLog(HostIdentity self, HostLog log) {
    this.self = self;
    this.log = log;
  }

  /** Called once, when the host has the state that it needs to serve callers. */
  void serving() {
    try {
      ProcessFacts facts = ProcessFacts.read();
      classArchives = facts.classArchives().size();
      log.event(
          LogEvent.HOST_SERVES,
          self,
          Long.toString(facts.ageMs()),
          Long.toString(facts.processorMs()),
          facts.classArchives());
    } catch (IOException | RuntimeException e) {
      // Some systems don't tell; the host serves all the same.
      log.event(LogEvent.HOST_SERVES, self, UNKNOWN, UNKNOWN, e);
    }
  }

  /** Returns the number of archives of classes that the JVM uses; 0 before the host serves. */
  int classArchives() {
    return classArchives;
  }
}
