// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.fawndrum.coordination.Decision;
import org.fawndrum.coordination.Prefill;
import org.fawndrum.coordination.crash.RejectedRequest;
import org.fawndrum.protocol.OperatorMessages.CellView;
import org.fawndrum.protocol.OperatorMessages.ChangeView;
import org.fawndrum.protocol.OperatorMessages.DeciderView;
import org.fawndrum.protocol.OperatorMessages.DecisionView;
import org.fawndrum.protocol.OperatorMessages.History;
import org.fawndrum.protocol.OperatorMessages.PassedOverView;
import org.fawndrum.protocol.OperatorMessages.Published;
import org.fawndrum.protocol.OperatorMessages.ReadingView;
import org.fawndrum.protocol.OperatorMessages.RefusedListView;
import org.fawndrum.protocol.OperatorMessages.RefusedView;
import org.fawndrum.protocol.OperatorMessages.TableView;
import org.fawndrum.state.Cell;
import org.fawndrum.state.CellChange;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.PublicationOutcome;
import org.fawndrum.state.TableRevision;

/** Converts internal data to the messages of the operator API. */
public final class OperatorViews {
  /** Outcome of a publication that has not been replayed yet. */
  public static final String UNKNOWN = "unknown";

  /** Path of the list of rejected requests, on the metrics address. */
  public static final String REFUSED_PATH = "/refused";

  private OperatorViews() {}

  /** Converts a decision. */
  public static DecisionView decision(Decision decision) {
    List<PassedOverView> passedOver =
        decision.passedOver().stream()
            .map(endpoint -> new PassedOverView(endpoint.endpoint(), endpoint.expectedMs()))
            .toList();
    return new DecisionView(
        decision.requestId(),
        decision.group().workspace(),
        decision.group().className(),
        decision.target().name(),
        decision.promptTokens(),
        decision.atMs(),
        decision.sinceArrivalMs(),
        lowerCaseName(decision.kind()),
        lowerCaseName(decision.reason()),
        decision.endpoint().orElse(null),
        decision.attempt(),
        decision.cell().map(CellKey::toString).orElse(null),
        decision.refusal().map(refusal -> refusal.kind().code()).orElse(null),
        decision.refusal().map(refusal -> refusal.ran().wireName()).orElse(null),
        decision.refusal().map(refusal -> refusal.retryAfterMs()).orElse(null),
        passedOver.isEmpty() ? null : passedOver,
        decision.prefill().map(OperatorViews::prefill).orElse(null));
  }

  private static ReadingView prefill(Prefill prefill) {
    Long tookMs = prefill.tookMs() == Prefill.PENDING ? null : prefill.tookMs();
    return new ReadingView(prefill.engines(), prefill.expectedMs(), tookMs);
  }

  private static String lowerCaseName(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  /** Converts a table; cells without a published value are omitted. */
  public static TableView table(TableRevision table) {
    List<CellView> cells = new ArrayList<>();
    TableCsv.sorted(table)
        .forEach(
            (group, row) -> {
              for (Column column : Column.values()) {
                row.cell(column)
                    .filter(cell -> cell.value() != null)
                    .ifPresent(cell -> cells.add(cell(new CellKey(group, column), cell)));
              }
            });
    return new TableView(table.revision(), table.position(), cells);
  }

  private static CellView cell(CellKey key, Cell cell) {
    return new CellView(
        key.group().toString(),
        key.column().columnName(),
        cell.value(),
        cell.offset(),
        cell.operator());
  }

  /** Converts changes. */
  public static List<ChangeView> changes(List<CellChange> changes) {
    return changes.stream()
        .map(
            change ->
                new ChangeView(
                    change.key().group().toString(),
                    change.key().column().columnName(),
                    change.value()))
        .toList();
  }

  /** Converts the outcome of a publication. */
  public static Published published(String id, PublicationOutcome outcome) {
    if (outcome instanceof PublicationOutcome.Lost lost) {
      List<DeciderView> cells =
          lost.conflicts().stream()
              .map(conflict -> decider(conflict.key(), conflict.current()))
              .toList();
      return new Published(id, "lost", outcome.offset(), cells);
    }
    if (outcome instanceof PublicationOutcome.Invalid invalid) {
      return new Published(id, "invalid", outcome.offset(), badCells(invalid.badCells()));
    }
    String outcomeName = outcome instanceof PublicationOutcome.Accepted ? "accepted" : "invalid";
    return new Published(id, outcomeName, outcome.offset(), List.of());
  }

  /** Returns the view of a publication without a known outcome. */
  public static Published unknown(String id) {
    return new Published(id, UNKNOWN, -1, List.of());
  }

  /** Converts cells whose values are not valid. */
  public static List<DeciderView> badCells(List<PublicationOutcome.BadCell> badCells) {
    return badCells.stream()
        .map(
            bad ->
                new DeciderView(
                    bad.key().group().toString(),
                    bad.key().column().columnName(),
                    bad.value(),
                    null,
                    -1,
                    bad.allowed()))
        .toList();
  }

  private static DeciderView decider(CellKey key, Cell cell) {
    return new DeciderView(
        key.group().toString(),
        key.column().columnName(),
        cell.value(),
        cell.operator(),
        cell.offset(),
        null);
  }

  /** Returns the latest publications, oldest first. */
  public static History history(TableRevision table) {
    List<Published> publications = new ArrayList<>();
    table.outcomes().forEach((id, outcome) -> publications.add(published(id, outcome)));
    return new History(publications);
  }

  /** Converts the requests that are rejected because endpoints crashed while running them. */
  public static RefusedListView refused(List<RejectedRequest> refused) {
    return new RefusedListView(
        refused.stream()
            .map(
                request ->
                    new RefusedView(
                        request.request().toString(), request.sinceMs(), request.endpoints()))
            .toList());
  }
}
