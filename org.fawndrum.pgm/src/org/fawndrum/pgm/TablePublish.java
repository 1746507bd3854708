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
import org.kohsuke.args4j.Option;

/** Publishes the cells in which a CSV file differs from the current table. */
final class TablePublish extends TableCommand {
  @Argument(index = 0, required = true, metaVar = "FILE", usage = "the CSV file")
  private String file;

  @Option(
      name = "--edited-from",
      metaVar = "REVISION",
      usage = "revision from which the file was exported (default: the current one)")
  private Long baseRevision;

  @Override
  int call() throws IOException, InterruptedException {
    TableRevision table = table();
    List<ChangeView> changes =
        OperatorViews.changes(TableCsv.changes(Files.readString(Path.of(file)), table));
    return publish(baseRevision != null ? baseRevision : table.revision(), changes);
  }
}
