// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.fawndrum.protocol.OperatorMessages.ChangeView;
import org.fawndrum.protocol.OperatorMessages.TableView;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Publishes individual cells. */
final class TableSet extends TableCommand {
  @Argument(
      required = true,
      metaVar = "GROUP:COLUMN=VALUE",
      usage = "cells to set; an empty value clears the cell")
  private List<String> cells = new ArrayList<>();

  @Option(
      name = "--edited-from",
      metaVar = "REVISION",
      usage = "revision on which the change is based (default: the current one)")
  private Long baseRevision;

  @Override
  int call() throws IOException, InterruptedException {
    List<ChangeView> changes = new ArrayList<>();
    for (String cell : cells) {
      int colon = cell.indexOf(':');
      int equals = cell.indexOf('=', colon + 1);
      if (colon < 0 || equals < 0) {
        err().println(cell + ": must be GROUP:COLUMN=VALUE");
        return ExitCode.USAGE;
      }
      String value = cell.substring(equals + 1);
      changes.add(
          new ChangeView(
              cell.substring(0, colon),
              cell.substring(colon + 1, equals),
              value.isEmpty() ? null : value));
    }
    long revision = baseRevision != null ? baseRevision : get("/table", TableView.class).revision();
    return publish(revision, changes);
  }
}
