// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Cell;
import org.fawndrum.state.Column;
import org.fawndrum.state.Route;
import org.fawndrum.state.RouteTable;
import org.fawndrum.state.Row;
import org.fawndrum.state.TableRevision;
import org.fawndrum.state.TableRevisionBuilder;
import org.fawndrum.state.Workspace;

/** Converts routes into the rows of a table: one for each workspace and route. */
final class RouteRows {
  private static final String OPERATOR = "operators";
  private static final int MIN_PRIORITY = 0;
  private static final int MAX_PRIORITY = 9;
  private static final long MAX_DEADLINE_MS = 86_400_000;

  private RouteRows() {}

  /** Returns the table of a revision of the routes. */
  static TableRevision of(RouteTable routes) {
    TableRevisionBuilder builder = new TableRevisionBuilder(routes.revision(), routes.revision());
    Set<Workspace> workspaces = new HashSet<>(routes.workspaces().values());
    workspaces.add(Workspace.ANONYMOUS);
    for (Route route : routes.routes()) {
      // Workspaces of the same rank share a row, so that many workspaces need little memory.
      Map<Integer, Row> byRank = new HashMap<>();
      for (Workspace workspace : workspaces) {
        int rank = workspace.rank().orElse(route.rank());
        Row row = byRank.computeIfAbsent(rank, key -> row(route, key, routes.revision()));
        builder.row(new CallerGroup(workspace.name(), route.name()), row);
      }
    }
    return builder.build();
  }

  private static Row row(Route route, int rank, long revision) {
    int priority = Math.max(MIN_PRIORITY, MAX_PRIORITY - rank);
    long deadlineMs = Math.max(1, Math.min(MAX_DEADLINE_MS, route.timeoutMs()));
    return Row.EMPTY
        .with(Column.DEADLINE_MS, cell(Long.toString(deadlineMs), revision))
        .with(Column.PRIORITY_SHORT, cell(Integer.toString(priority), revision))
        .with(Column.PRIORITY_LONG, cell(Integer.toString(priority), revision))
        .with(Column.REPEATABLE, cell(route.repeatable() ? "yes" : "no", revision));
  }

  private static Cell cell(String value, long revision) {
    return new Cell(value, revision, OPERATOR);
  }
}
