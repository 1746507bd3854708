// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers got an answer and the second one behind it as one body. */
class BodyHeadsTest {
  private static final String SECOND = "HTTP/1.1 200 OK\r\nOther: 1\r\nid: r-1\r\n\r\ntext";
  private static final int LONG = 100_000;

  private static BodyHeads search(boolean events) {
    return new BodyHeads(events, (name, value) -> name.equals("id") && value.equals("r-1"));
  }

  private static Buffer bytes(String text) {
    return Buffer.buffer(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static boolean finds(String body) {
    BodyHeads heads = search(false);
    heads.append(bytes(body));
    return heads.foundAtEnd();
  }

  /** A head was not found where a read ended within it. */
  @Test
  void aHeadIsFoundWhereverReadsEnd() {
    String body = "good" + SECOND;
    for (int first = 0; first <= body.length(); first++) {
      for (int second = first; second <= body.length(); second++) {
        BodyHeads heads = search(false);
        heads.append(bytes(body.substring(0, first)));
        heads.append(bytes(body.substring(first, second)));
        assertTrue(heads.append(bytes(body.substring(second))), first + ", " + second);
      }
    }
  }

  /** What stands before a head hid it. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "H",
        "HTTP/1.",
        "HTTP/1.1 20",
        "HTTP/1.1 2000",
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\nOther: ",
        "HTTP/1.1 200 OK\r\nid: r-2\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntext",
        "see HTTP/1.1 and HTTP/1.1 20x, HHTTP/1."
      })
  void aHeadIsFoundBehind(String before) {
    assertTrue(finds(before + SECOND));
  }

  /** A body that is longer than any line of a head hid it. */
  @Test
  void aHeadIsFoundBehindLongLines() {
    assertTrue(finds("x".repeat(LONG) + SECOND));
    assertTrue(finds("HTTP/1.1 200 OK" + "x".repeat(LONG) + SECOND));
    assertTrue(finds("HTTP/1.1 200 OK\r\nOther: " + "x".repeat(LONG) + SECOND));
    assertTrue(finds("HTTP/1.1 200 OK\r\nOther: ".repeat(LONG) + SECOND));
  }

  /** A value with a byte that ends a line elsewhere, as many letters have one, hid the id. */
  @ParameterizedTest
  @ValueSource(strings = {"\u00c3\u0085land", "\u0085", "a\rb"})
  void aHeadIsFoundWhateverItsValuesAre(String value) {
    assertTrue(finds("HTTP/1.1 200 OK\r\nOther: " + value + "\r\nid: r-1\r\n"));
  }

  /** Counts how often its characters are looked at. */
  private static final class CountedLine implements CharSequence {
    private final String text;
    private int reads;

    CountedLine(String text) {
      this.text = text;
    }

    @Override
    public int length() {
      return text.length();
    }

    @Override
    public char charAt(int index) {
      reads++;
      return text.charAt(index);
    }

    @Override
    public CharSequence subSequence(int start, int end) {
      return text.subSequence(start, end);
    }
  }

  /** A value with many blanks held up the thread that reads. */
  @Test
  void aValueWithManyBlanksIsReadOnce() {
    CountedLine line = new CountedLine("Other: a" + " ".repeat(4_000) + "b\r");
    assertTrue(BodyHeads.field(line).matches());
    assertTrue(line.reads <= 2 * line.length(), line.reads + " of " + line.length());
  }

  /** A head that breaks off was not found; it is from the end of the id on. */
  @Test
  void aHeadThatBreaksOffIsFoundOnceItHasTheId() {
    int end = SECOND.indexOf("r-1") + "r-1".length();
    for (int length = 0; length <= SECOND.length(); length++) {
      assertEquals(length >= end, finds("good" + SECOND.substring(0, length)), "" + length);
    }
  }

  /** Bodies that tell of answers, or have the id elsewhere, were not served. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nid: r-2\r\n\r\n",
        "HTTP/1.1 200 OK\r\nid: r-12\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nid: r-1\r\n",
        "HTTP/1.1 200 OK\r\ntext\r\nid: r-1\r\n",
        "HTTP/1.1 200OK\r\nid: r-1\r\n",
        "HTTP/1.1\r\nid: r-1\r\n",
        "HTTP/2 200\r\nid: r-1\r\n",
        "id: r-1\r\n"
      })
  void whatIsNoHeadOfTheSameAnswerIsServed(String body) {
    assertFalse(finds(body));
  }

  /** An answer to another request went on where the events of this one had ended. */
  @Test
  void amongEventsEachStatusLineAtTheStartOfALineIsOne() {
    assertTrue(search(true).append(bytes("id: 1\n\nHTTP/1.1 200 OK\r\n")));
    assertTrue(search(true).append(bytes("HTTP/1.1 200\n")));
    assertFalse(search(true).append(bytes("data: HTTP/1.1 200 OK\n\n")));
    assertFalse(search(false).append(bytes("\nHTTP/1.1 200 OK\r\n")));
  }

  /** An answer to another request ended an event that this one had begun. */
  @Test
  void amongEventsAStatusLineIsOneIfAFieldFollowsThatNoEventHas() {
    assertTrue(search(true).append(bytes("data: teHTTP/1.1 200 OK\r\nX-Other: 1\r\n")));
    for (String field : List.of("data: a", "id: 1", "event: a", "retry: 1", "text", ": a", "")) {
      String event = "data: HTTP/1.1 200 OK\r\n" + field + "\n\nversions: 1\n";
      assertFalse(search(true).append(bytes(event)), field);
    }
  }
}
