// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import org.fawndrum.protocol.OperatorMessages.PeerStatus;
import org.fawndrum.protocol.OperatorMessages.Status;

/** Shows the state of a daemon. */
final class ShowStatus extends DaemonCommand {
  @Override
  int call() throws IOException, InterruptedException {
    Status status = get("/status", Status.class);
    if (json) {
      printJson(status);
      return ExitCode.DONE;
    }
    out().println(status.host() + "#" + status.incarnation() + " in " + status.zone());
    out().println("  state      " + status.state() + ", version " + status.version());
    out().println("  platform   " + (status.platformUp() ? "answers" : "does not answer"));
    out()
        .println(
            "  table      revision "
                + status.tableRevision()
                + " at log "
                + status.tablePosition());
    out()
        .println(
            "  requests   "
                + status.requestsOpen()
                + " open, "
                + status.requestsWaiting()
                + " waiting");
    out()
        .println(
            "  requests that must not run twice: "
                + (status.claimsRegistered() ? "served" : "not served yet"));
    out().println("  endpoints  " + String.join(" ", status.endpointsOpen()));
    out().println("  draining   " + String.join(" ", status.endpointsLeaving()));
    for (PeerStatus peer : status.peers()) {
      out()
          .println(
              "  peer       "
                  + peer.host()
                  + "#"
                  + peer.incarnation()
                  + " in "
                  + peer.zone()
                  + " "
                  + peer.state()
                  + (peer.draining() ? " draining" : "")
                  + ", table revision "
                  + peer.tableRevision()
                  + ", last message "
                  + peer.heardMsAgo()
                  + " ms ago");
    }
    return ExitCode.DONE;
  }
}
