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
 * The newest table that this host knows, from the log or from a peer. The position only grows. Safe
 * for all threads.
 */
public final class TableStore {
  private final List<Consumer<TableRevision>> listeners = new CopyOnWriteArrayList<>();
  private final Map<String, CompletableFuture<PublicationOutcome>> awaited =
      new ConcurrentHashMap<>();
  private volatile TableRevision table = TableRevision.EMPTY;

  /** Returns the newest table. */
  public TableRevision table() {
    return table;
  }

  /** Adds a listener, called on the thread that brings a newer table. */
  public void onNewer(Consumer<TableRevision> listener) {
    listeners.add(listener);
  }

  /** Takes a table if it is newer than the one known; returns whether it was. */
  public boolean offer(TableRevision newer) {
    synchronized (this) {
      if (newer.position() <= table.position()) {
        return false;
      }
      table = newer;
    }
    listeners.forEach(listener -> listener.accept(newer));
    awaited.forEach(
        (id, future) -> newer.outcome(id).ifPresent(outcome -> settle(id, future, outcome)));
    return true;
  }

  private void settle(
      String id, CompletableFuture<PublicationOutcome> future, PublicationOutcome outcome) {
    awaited.remove(id);
    future.complete(outcome);
  }

  /** Gives the outcome of a publication once the log has decided it. */
  public CompletableFuture<PublicationOutcome> outcome(String publicationId) {
    CompletableFuture<PublicationOutcome> future =
        awaited.computeIfAbsent(publicationId, id -> new CompletableFuture<>());
    table.outcome(publicationId).ifPresent(outcome -> settle(publicationId, future, outcome));
    return future;
  }

  /** Waits no longer for the outcome of a publication. */
  public void forget(String publicationId) {
    awaited.remove(publicationId);
  }
}
