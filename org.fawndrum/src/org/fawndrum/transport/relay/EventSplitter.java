// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts the bytes of an event stream into whole events; the rest of an event waits for its end.
 * Confined to one thread.
 */
final class EventSplitter {
  private static final String ID_FIELD = "id:";

  private Buffer rest = Buffer.buffer();

  /**
   * A whole event.
   *
   * @param id its id; -1 when it has none
   * @param bytes its bytes with the empty line at its end
   */
  record StreamEvent(long id, Buffer bytes) {}

  /** Takes bytes as they come and returns the events that are whole now. */
  List<StreamEvent> take(Buffer piece) {
    rest = rest.length() == 0 ? piece : Buffer.buffer().appendBuffer(rest).appendBuffer(piece);
    List<StreamEvent> events = new ArrayList<>(1);
    int from = 0;
    for (int at = 1; at < rest.length(); at++) {
      if (rest.getByte(at) == '\n' && rest.getByte(at - 1) == '\n') {
        Buffer bytes = rest.getBuffer(from, at + 1);
        events.add(new StreamEvent(idOf(bytes), bytes));
        from = at + 1;
        at = from;
      }
    }
    rest = from == 0 ? rest : rest.getBuffer(from, rest.length());
    return events;
  }

  /** Tells whether a part of an event waits for its end. */
  boolean midEvent() {
    return rest.length() > 0;
  }

  private static long idOf(Buffer event) {
    for (String line : event.toString(StandardCharsets.ISO_8859_1).split("\n")) {
      if (line.startsWith(ID_FIELD)) {
        try {
          return Long.parseLong(line.substring(ID_FIELD.length()).trim());
        } catch (NumberFormatException e) {
          // An id that is no number cannot be resumed from; the event counts as one without an id.
          return -1;
        }
      }
    }
    return -1;
  }
}
