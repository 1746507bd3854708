// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import org.fawndrum.protocol.OperatorMessages.CellView;
import org.fawndrum.protocol.OperatorMessages.TableView;

/** Shows the cells of the current table with the operator who published each. */
final class TableShow extends DaemonCommand {
  @Override
  int call() throws IOException, InterruptedException {
    TableView table = get("/table", TableView.class);
    if (json) {
      printJson(table);
      return ExitCode.DONE;
    }
    out().println("revision " + table.revision());
    for (CellView cell : table.cells()) {
      out()
          .printf(
              "%-28s %-20s %-24s by %s at %d%n",
              cell.group(), cell.column(), cell.value(), cell.operator(), cell.offset());
    }
    return ExitCode.DONE;
  }
}
