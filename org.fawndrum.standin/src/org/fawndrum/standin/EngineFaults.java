// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.standin;

import java.util.ArrayList;
import java.util.List;
import org.fawndrum.protocol.EngineMessages.Faults;
import org.fawndrum.protocol.EngineMessages.StreamEvent;

/** The active faults of an engine stand-in. Immutable. */
record EngineFaults(
    boolean refuse,
    boolean silent,
    boolean leaving,
    long cutAfterTokens,
    boolean crossChunks,
    boolean repeatChunks,
    boolean dropChunk) {
  /** Position of the token that {@code dropChunk} drops. */
  private static final long DROPPED_POSITION = 3;

  static final EngineFaults NONE = new EngineFaults(false, false, false, -1, false, false, false);

  /** Returns a copy with the given changes; null components stay unchanged. */
  EngineFaults with(Faults changes) {
    return new EngineFaults(
        valueOr(changes.refuse(), refuse),
        valueOr(changes.silent(), silent),
        valueOr(changes.leaving(), leaving),
        changes.cutAfterTokens() != null ? changes.cutAfterTokens() : cutAfterTokens,
        valueOr(changes.crossChunks(), crossChunks),
        valueOr(changes.repeatChunks(), repeatChunks),
        valueOr(changes.dropChunk(), dropChunk));
  }

  private static boolean valueOr(Boolean change, boolean current) {
    return change != null ? change : current;
  }

  /** Returns the events to send for one token, according to the faults. */
  List<StreamEvent> apply(String attempt, long at, String text) {
    List<StreamEvent> events = new ArrayList<>();
    if (crossChunks) {
      events.add(new StreamEvent("other#1/other/1", at, "crossed ", null, null));
    }
    if (!dropChunk || at != DROPPED_POSITION) {
      events.add(new StreamEvent(attempt, at, text, null, null));
    }
    if (repeatChunks) {
      events.add(new StreamEvent(attempt, at, "repeated ", null, null));
    }
    return events;
  }
}
