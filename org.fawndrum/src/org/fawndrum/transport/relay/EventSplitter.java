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

  /** The bytes of the incomplete event; only this object holds them. */
  private Buffer partial = Buffer.buffer();

  /**
   * A complete event.
   *
   * @param id its id; -1 if it has none
   * @param bytes its bytes, including the empty line at the end
   */
  record StreamEvent(long id, Buffer bytes) {}

  /** Appends received bytes and returns the events that are now complete. */
  List<StreamEvent> append(Buffer received) {
    int seen = partial.length();
    Buffer bytes = seen == 0 ? received : partial.appendBuffer(received);
    List<StreamEvent> events = new ArrayList<>(1);
    int start = 0;
    // What was seen before contains no end of an event, so that each byte is looked at once.
    for (int end = Math.max(1, seen); end < bytes.length(); end++) {
      if (bytes.getByte(end) == '\n' && bytes.getByte(end - 1) == '\n') {
        Buffer event = bytes.getBuffer(start, end + 1);
        events.add(new StreamEvent(idOf(event), event));
        start = end + 1;
        end = start;
      }
    }
    if (start > 0 || seen == 0) {
      partial = Buffer.buffer().appendBuffer(bytes, start, bytes.length() - start);
    }
    return events;
  }

  /** Returns the bytes of the incomplete event that is buffered. */
  int partialBytes() {
    return partial.length();
  }

  /** Returns whether an incomplete event is buffered. */
  boolean hasPartialEvent() {
    return partial.length() > 0;
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
