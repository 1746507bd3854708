// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.fawndrum.protocol.OperatorMessages.ChangeView;
import org.fawndrum.protocol.OperatorViews;
import org.fawndrum.protocol.TableCsv;
import org.fawndrum.state.TableRevision;
import org.kohsuke.args4j.Argument;

/** Shows the changes in a CSV file without publishing them. */
final class TableImport extends TableCommand {
  @Argument(index = 0, required = true, metaVar = "FILE", usage = "the CSV file")
  private String file;

  @Override
  int call() throws IOException, InterruptedException {
    TableRevision table = table();
    List<ChangeView> changes =
        OperatorViews.changes(TableCsv.changes(Files.readString(Path.of(file)), table));
    if (json) {
      printJson(changes);
      return ExitCode.DONE;
    }
    out().println("against revision " + table.revision() + ":");
    for (ChangeView change : changes) {
      String value = change.value() == null ? "(cleared)" : change.value();
      out().println("  " + change.group() + ":" + change.column() + " = " + value);
    }
    out().println(changes.size() + " cells would change");
    return ExitCode.DONE;
  }
}
