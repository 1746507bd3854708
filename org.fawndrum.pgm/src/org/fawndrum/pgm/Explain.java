// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import org.fawndrum.protocol.OperatorMessages.Story;
import org.kohsuke.args4j.Argument;

/** Shows one request's whole story. */
final class Explain extends DaemonCommand {
  @Argument(index = 0, required = true, metaVar = "REQUEST", usage = "the request's id")
  private String request;

  @Override
  int call() throws IOException, InterruptedException {
    Story story = get("/explain/" + request, Story.class);
    if (json) {
      printJson(story);
    } else {
      story.decisions().forEach(decision -> out().println(DecisionLine.of(decision)));
    }
    return ExitCode.DONE;
  }
}
