// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fawndrum.errors.BadCellsException;
import org.fawndrum.errors.PublicationOutcomeUnknownException;
import org.fawndrum.protocol.LogCodec;
import org.fawndrum.protocol.PlatformLog;
import org.fawndrum.state.Publication;
import org.fawndrum.state.PublicationOutcome;
import org.fawndrum.state.PublicationReplay;

/**
 * Publishes changed cells: appends them to the log and waits for the outcome. Replaying the log
 * decides the outcome, also when the confirmation of the append is lost.
 */
final class PublishChanges {
  private static final long OUTCOME_TIMEOUT_MS = 5_000;

  private final PlatformLog platform;
  private final TableStore tables;
  private final Publication publication;

  PublishChanges(PlatformLog platform, TableStore tables, Publication publication) {
    this.platform = platform;
    this.tables = tables;
    this.publication = publication;
  }

  /**
   * Returns the outcome of the publication. The future fails with {@code BadCellsException} when a
   * cell is invalid and nothing was appended, and with {@code PublicationOutcomeUnknownException}
   * when the publication was not replayed within five seconds.
   */
  CompletableFuture<PublicationOutcome> call() {
    List<PublicationOutcome.BadCell> bad = PublicationReplay.badCells(publication.changes());
    if (!bad.isEmpty()) {
      return CompletableFuture.failedFuture(new BadCellsException(bad));
    }
    // The result of the append is ignored: only the replay of the log decides the outcome.
    platform.append(LogCodec.publication(publication));
    String id = publication.id();
    return tables
        .outcome(id)
        .copy()
        .orTimeout(OUTCOME_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .exceptionallyCompose(
            timeout ->
                CompletableFuture.failedFuture(new PublicationOutcomeUnknownException(id, timeout)))
        .whenComplete((outcome, failure) -> tables.forget(id));
  }
}
