// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.UUID;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.OperatorMessages.CellView;
import org.fawndrum.protocol.OperatorMessages.ChangeView;
import org.fawndrum.protocol.OperatorMessages.DeciderView;
import org.fawndrum.protocol.OperatorMessages.Publish;
import org.fawndrum.protocol.OperatorMessages.Published;
import org.fawndrum.protocol.OperatorMessages.TableView;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Cell;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.TableRevision;
import org.fawndrum.state.TableRevisionBuilder;

/** Base class of the commands that change the table. */
abstract class TableCommand extends DaemonCommand {
  private static final int ACCEPTED = 202;
  private static final int CONFLICT = 409;
  private static final int UNPROCESSABLE = 422;
  private static final int OK = 200;

  /** Returns the current table of the daemon. */
  TableRevision table() throws IOException, InterruptedException {
    TableView view = get("/table", TableView.class);
    TableRevisionBuilder builder = new TableRevisionBuilder(view.revision(), view.position());
    for (CellView cell : view.cells()) {
      Column column = Column.named(cell.column());
      if (column != null) {
        builder.cell(
            new CellKey(CallerGroup.parse(cell.group()), column),
            new Cell(cell.value(), cell.offset(), cell.operator()));
      }
    }
    return builder.build();
  }

  /** Publishes changes, prints the outcome and returns the exit code. */
  int publish(long baseRevision, List<ChangeView> changes)
      throws IOException, InterruptedException {
    if (changes.isEmpty()) {
      out().println("no changes");
      return ExitCode.DONE;
    }
    Publish publication = new Publish(UUID.randomUUID().toString(), baseRevision, changes);
    HttpResponse<String> response = post("/table/publish", publication);
    int status = response.statusCode();
    boolean decided =
        status == OK || status == ACCEPTED || status == CONFLICT || status == UNPROCESSABLE;
    if (!decided || response.body().contains("\"error\"")) {
      throw failure("POST", "/table/publish", response);
    }
    Published published = Json.read(response.body(), Published.class);
    if (json) {
      printJson(published);
    } else {
      print(published, changes.size());
    }
    return switch (published.outcome()) {
      case "accepted" -> ExitCode.DONE;
      case "lost" -> ExitCode.LOST;
      case "unknown" -> ExitCode.UNKNOWN;
      default -> ExitCode.USAGE;
    };
  }

  private void print(Published published, int changes) {
    switch (published.outcome()) {
      case "accepted" ->
          out()
              .println(
                  changes + " cells published; revision " + published.offset() + " is current");
      case "unknown" ->
          err().println("publication " + published.id() + " is not decided yet; see table history");
      default -> {
        err().println("nothing was changed: the publication was " + published.outcome());
        published.cells().forEach(cell -> err().println("  " + reason(cell)));
      }
    }
  }

  private static String reason(DeciderView cell) {
    String cellName = cell.group() + ":" + cell.column();
    return cell.allowed() != null
        ? cellName + " = '" + cell.value() + "': allowed is " + cell.allowed()
        : cellName
            + " was set to '"
            + cell.value()
            + "' by "
            + cell.operator()
            + " at "
            + cell.offset();
  }
}
