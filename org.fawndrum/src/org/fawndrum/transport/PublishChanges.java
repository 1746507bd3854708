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
import org.fawndrum.state.ReplayPublication;

/**
 * Publishes changed cells: appends them to the log and waits until replay has decided. Only replay
 * decides; a lost confirmation of the append is settled by what the log holds.
 */
final class PublishChanges {
  private static final long OUTCOME_MS = 5_000;

  private final PlatformLog platform;
  private final TableStore tables;
  private final Publication publication;

  PublishChanges(PlatformLog platform, TableStore tables, Publication publication) {
    this.platform = platform;
    this.tables = tables;
    this.publication = publication;
  }

  /**
   * Gives the outcome. Fails with {@code BadCellsException} when nothing was appended, and with
   * {@code PublicationOutcomeUnknownException} when the log cannot tell yet.
   */
  CompletableFuture<PublicationOutcome> call() {
    List<PublicationOutcome.BadCell> bad = ReplayPublication.badCells(publication.changes());
    if (!bad.isEmpty()) {
      return CompletableFuture.failedFuture(new BadCellsException(bad));
    }
    // Whether the append was confirmed does not matter: only what replay finds in the log does.
    platform.append(LogCodec.publication(publication));
    String id = publication.id();
    return tables
        .outcome(id)
        .copy()
        .orTimeout(OUTCOME_MS, TimeUnit.MILLISECONDS)
        .exceptionallyCompose(
            late ->
                CompletableFuture.failedFuture(new PublicationOutcomeUnknownException(id, late)))
        .whenComplete((outcome, failure) -> tables.forget(id));
  }
}
