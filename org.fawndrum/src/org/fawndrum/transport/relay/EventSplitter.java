// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of an event stream into events and buffers an incomplete event until its end
 * arrives. Confined to one thread.
 */
final class EventSplitter {
  private static final String ID_FIELD = "id:";

  private Buffer pending = Buffer.buffer();

  /**
   * A complete event.
   *
   * @param id its id; -1 if it has none
   * @param bytes its bytes, including the empty line at the end
   */
  record StreamEvent(long id, Buffer bytes) {}

  /** Appends received bytes and returns the events that are now complete. */
  List<StreamEvent> append(Buffer received) {
    pending =
        pending.length() == 0
            ? received
            : Buffer.buffer().appendBuffer(pending).appendBuffer(received);
    List<StreamEvent> events = new ArrayList<>(1);
    int start = 0;
    for (int end = 1; end < pending.length(); end++) {
      if (pending.getByte(end) == '\n' && pending.getByte(end - 1) == '\n') {
        Buffer bytes = pending.getBuffer(start, end + 1);
        events.add(new StreamEvent(idOf(bytes), bytes));
        start = end + 1;
        end = start;
      }
    }
    pending = start == 0 ? pending : pending.getBuffer(start, pending.length());
    return events;
  }

  /** Returns the bytes of the incomplete event that is buffered. */
  int partialBytes() {
    return pending.length();
  }

  /** Returns whether an incomplete event is buffered. */
  boolean hasPartialEvent() {
    return pending.length() > 0;
  }

  private static long idOf(Buffer event) {
    for (String line : event.toString(StandardCharsets.ISO_8859_1).split("\n")) {
      if (line.startsWith(ID_FIELD)) {
        try {
          return Long.parseLong(line.substring(ID_FIELD.length()).trim());
        } catch (NumberFormatException e) {
          // A stream cannot be resumed from an id that is not a number, so the event counts as one
          // without an id.
          return -1;
        }
      }
    }
    return -1;
  }
}
