// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Heads that the HTTP client's parser corrects without telling are refused, and no others. */
class HeadSyntaxTest {
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String END = "\r\n\r\nbody";

  private final HeadSyntax syntax = new HeadSyntax();

  /** Takes bytes until the body; returns whether all were accepted. */
  private boolean accepts(String text) {
    for (byte next : text.getBytes(StandardCharsets.ISO_8859_1)) {
      if (syntax.inHead() && !syntax.accepts(next)) {
        return false;
      }
    }
    return true;
  }

  /** Sound answers would be lost. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        OK + "A: b" + END,
        OK + "A:b\r\nX-Some_name.1!#$%&'*+^`|~: v \u00e9 \t v\r\nEmpty:" + END,
        OK + "A: b\r\n folded: line\r\n\tand more" + END,
        "HTTP/1.1 200\r\nA: b" + END,
        "HTTP/1.0 599 \r\nA: b" + END,
        "HTTP/1.1 404 Not \t Found\nA: b\n\nbody",
        "\r\n" + OK + "A: b" + END,
        "HTTP/1.1 204 No\r\n\r\n"
      })
  void aSoundHeadIsPassedOn(String head) {
    assertTrue(accepts(head));
    assertFalse(syntax.inHead(), "the body is taken for the head");
  }

  /** The parser takes the first word for the name. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content Length: 4",
        "Content-Length : 4",
        "Content-Length\t: 4",
        "A: b\r\nX Odd: v",
        " Content-Length: 4",
        "\tA: b",
        "No-colon",
        ": v",
        "A\u0000: b",
        "A\u007f: b",
        "A\u00e9: b",
        "A[1]: b",
        "\u0001A: b",
        "A: b\u0001c",
        "A: b\rc"
      })
  void aFieldWithoutASoundNameIsRefused(String field) {
    assertFalse(accepts(OK + field + END));
  }

  /** The parser reads some of these as 200. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "000 X",
        "099 X",
        "600 X",
        "999 X",
        "00 X",
        "20 X",
        "2000 X",
        "0200 X",
        "+200 X",
        "-200 X",
        " 200 X",
        "200\tX",
        "200X",
        "20a X",
        "2e2 X",
        "200 X\u0001",
        ""
      })
  void aStatusThatIsNoneIsRefused(String status) {
    assertFalse(accepts("HTTP/1.1 " + status + "\r\nA: b" + END));
  }

  /** The parser takes a status line from behind them. */
  @ParameterizedTest
  @ValueSource(strings = {" ", "\t", "\u0001", "\u007f"})
  void bytesBeforeTheFirstStatusLineAreRefused(String before) {
    assertFalse(accepts(before + OK + "A: b" + END));
  }

  /** The head behind an interim answer would not be looked at. */
  @Test
  void whatFollowsAnInterimAnswerIsAHead() {
    assertTrue(accepts("HTTP/1.1 103 Early\r\nLink: a\r\n\r\n"));
    assertTrue(syntax.inHead());
    assertFalse(accepts(OK + "X Odd: v" + END));
  }

  /** A body would be taken for a head, or the next head for a body. */
  @Test
  void theNextHeadFollowsTheEndOfTheAnswer() {
    assertTrue(accepts(OK + "A: b" + END));
    assertTrue(accepts("no field\r\n"));
    syntax.answerEnded();
    assertTrue(accepts(OK + "A: b" + END));
    syntax.answerEnded();
    assertFalse(accepts(OK + "X Odd: v" + END));
  }

  /** The rest of an answer to an earlier request is left to those who know whose it is. */
  @Test
  void theRestOfAnEarlierAnswerIsLeftToTheParser() {
    accepts(OK + "A: b" + END);
    syntax.answerEnded();
    assertTrue(accepts("0 OK\r\nX Odd: v\r\n\r\n"));
    assertEquals(false, syntax.inHead());
  }
}
