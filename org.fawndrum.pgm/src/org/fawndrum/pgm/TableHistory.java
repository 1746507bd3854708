// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import org.fawndrum.protocol.OperatorMessages.DeciderView;
import org.fawndrum.protocol.OperatorMessages.History;
import org.fawndrum.protocol.OperatorMessages.Published;

/** Lists the most recent publications with their outcomes. */
final class TableHistory extends DaemonCommand {
  @Override
  int call() throws IOException, InterruptedException {
    History history = get("/table/history", History.class);
    if (json) {
      printJson(history);
      return ExitCode.DONE;
    }
    for (Published published : history.publications()) {
      out().println(published.offset() + " " + published.id() + " " + published.outcome());
      for (DeciderView cell : published.cells()) {
        out()
            .println(
                "    "
                    + cell.group()
                    + ":"
                    + cell.column()
                    + " = "
                    + cell.value()
                    + (cell.operator() == null ? "" : " by " + cell.operator()));
      }
    }
    return ExitCode.DONE;
  }
}
