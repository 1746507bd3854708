// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.standin;

import java.util.ArrayList;
import java.util.List;
import org.fawndrum.protocol.EngineMessages.Faults;
import org.fawndrum.protocol.EngineMessages.StreamEvent;

/** The faults that an engine stand-in has now. Immutable. */
record EngineFaults(
    boolean refuse,
    boolean silent,
    boolean leaving,
    long cutAfterTokens,
    boolean crossChunks,
    boolean repeatChunks,
    boolean dropChunk) {
  private static final long DROPPED_POSITION = 3;

  static final EngineFaults NONE = new EngineFaults(false, false, false, -1, false, false, false);

  /** Returns these faults with the wanted ones changed. */
  EngineFaults with(Faults wanted) {
    return new EngineFaults(
        or(wanted.refuse(), refuse),
        or(wanted.silent(), silent),
        or(wanted.leaving(), leaving),
        wanted.cutAfterTokens() != null ? wanted.cutAfterTokens() : cutAfterTokens,
        or(wanted.crossChunks(), crossChunks),
        or(wanted.repeatChunks(), repeatChunks),
        or(wanted.dropChunk(), dropChunk));
  }

  private static boolean or(Boolean wanted, boolean present) {
    return wanted != null ? wanted : present;
  }

  /** Returns the events to send for one token. */
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
