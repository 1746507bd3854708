// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fawndrum.transport.relay.EventSplitter.StreamEvent;
import org.junit.jupiter.api.Test;

/** Events are complete wherever the network splits the bytes. */
class EventSplitterTest {
  private static String event(int id) {
    return "id: " + id + "\nevent: piece\ndata: text of " + id + "\n\n";
  }

  @Property(seed = "4711", tries = 300)
  void anySplitYieldsTheSameEvents(
      @ForAll @IntRange(min = 1, max = 6) int events,
      @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 40) Integer> cuts) {
    StringBuilder stream = new StringBuilder();
    for (int id = 1; id <= events; id++) {
      stream.append(event(id));
    }
    EventSplitter splitter = new EventSplitter();
    List<StreamEvent> seen = new ArrayList<>();
    int start = 0;
    int cutIndex = 0;
    while (start < stream.length()) {
      int end = Math.min(stream.length(), start + cuts.get(cutIndex++ % cuts.size()));
      seen.addAll(splitter.append(Buffer.buffer(stream.substring(start, end))));
      start = end;
    }
    assertEquals(events, seen.size());
    StringBuilder joined = new StringBuilder();
    for (int i = 0; i < events; i++) {
      assertEquals(i + 1, seen.get(i).id());
      joined.append(seen.get(i).bytes());
    }
    assertEquals(stream.toString(), joined.toString());
    assertFalse(splitter.hasPartialEvent());
  }

  @Test
  void partialEventIsBufferedAndReported() {
    EventSplitter splitter = new EventSplitter();
    assertTrue(splitter.append(Buffer.buffer("id: 1\ndata: a\n")).isEmpty());
    assertTrue(splitter.hasPartialEvent());
  }

  @Test
  void eventWithoutAValidIdHasNone() {
    EventSplitter splitter = new EventSplitter();
    assertEquals(-1, splitter.append(Buffer.buffer("data: a\n\n")).get(0).id());
    assertEquals(-1, splitter.append(Buffer.buffer("id: x\ndata: a\n\n")).get(0).id());
  }
}
