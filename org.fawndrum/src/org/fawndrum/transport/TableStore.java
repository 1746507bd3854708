// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.fawndrum.state.PublicationOutcome;
import org.fawndrum.state.TableRevision;

/**
 * Holds the newest table that this host has received from the log or from a peer. Its position
 * never decreases. Safe for all threads.
 */
public final class TableStore {
  private final List<Consumer<TableRevision>> listeners = new CopyOnWriteArrayList<>();
  private final Map<String, CompletableFuture<PublicationOutcome>> pendingOutcomes =
      new ConcurrentHashMap<>();
  private volatile TableRevision table = TableRevision.EMPTY;

  /** Returns the newest table. */
  public TableRevision table() {
    return table;
  }

  /** Adds a listener, which is called on the thread that offers a newer table. */
  public void onNewer(Consumer<TableRevision> listener) {
    listeners.add(listener);
  }

  /** Replaces the table if {@code newer} has a higher position; returns whether it did. */
  public boolean offer(TableRevision newer) {
    synchronized (this) {
      if (newer.position() <= table.position()) {
        return false;
      }
      table = newer;
    }
    listeners.forEach(listener -> listener.accept(newer));
    pendingOutcomes.forEach(
        (id, future) -> newer.outcome(id).ifPresent(outcome -> complete(id, future, outcome)));
    return true;
  }

  private void complete(
      String id, CompletableFuture<PublicationOutcome> future, PublicationOutcome outcome) {
    pendingOutcomes.remove(id);
    future.complete(outcome);
  }

  /** Completes with the outcome of a publication once the publication is replayed from the log. */
  public CompletableFuture<PublicationOutcome> outcome(String publicationId) {
    CompletableFuture<PublicationOutcome> future =
        pendingOutcomes.computeIfAbsent(publicationId, id -> new CompletableFuture<>());
    table.outcome(publicationId).ifPresent(outcome -> complete(publicationId, future, outcome));
    return future;
  }

  /** Stops waiting for the outcome of a publication; its future is not completed any more. */
  public void forget(String publicationId) {
    pendingOutcomes.remove(publicationId);
  }
}
