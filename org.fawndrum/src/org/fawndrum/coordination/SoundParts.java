// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Answers that have begun and have suspected parts in their prompts. Once one has gone on for a
 * time, its endpoint may have survived these parts, and is asked whether it has: an endpoint that
 * fell silent while its connection stayed open has not. Confined to the coordinator's thread; times
 * are those of the host's clock, in milliseconds.
 */
final class SoundParts {
  /**
   * How long an answer goes on before its parts may count as sound. A part that crashes endpoints
   * does so as its answer begins, and the host mostly knows it within 50 ms.
   */
  static final long SOUND_AFTER_MS = 500;

  /** Maximum number of answers that are watched at a time. */
  private static final int MAX_WATCHED = 256;

  private final Deque<Watched> watched = new ArrayDeque<>();

  /** An answer that is being written. */
  record Watched(OpenRequest request, OpenRequest.Attempt attempt) {
    private long dueMs() {
      return attempt.answeringSinceMs + SOUND_AFTER_MS;
    }
  }

  /** Watches an answer that has just begun. */
  void watch(OpenRequest request, OpenRequest.Attempt attempt) {
    if (watched.size() < MAX_WATCHED) {
      watched.addLast(new Watched(request, attempt));
    }
  }

  /** Removes the answers that have been watched for long enough; returns those without an end. */
  List<Watched> takeDue(long nowMs) {
    List<Watched> due = new ArrayList<>();
    while (!watched.isEmpty() && watched.peekFirst().dueMs() <= nowMs) {
      Watched first = watched.removeFirst();
      if (!first.attempt().state.ended()) {
        due.add(first);
      }
    }
    return due;
  }

  /** Returns when {@link #takeDue} is next due, or {@link Long#MAX_VALUE}. */
  long dueMs() {
    return watched.isEmpty() ? Long.MAX_VALUE : watched.peekFirst().dueMs();
  }
}
