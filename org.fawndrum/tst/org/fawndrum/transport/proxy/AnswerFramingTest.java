// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.MultiMap;
import org.junit.jupiter.api.Test;

/** What marks the end of an answer, by its head (RFC 9112, section 6.3). */
class AnswerFramingTest {
  private static AnswerFraming of(int status, String... headers) {
    MultiMap map = MultiMap.caseInsensitiveMultiMap();
    for (int i = 0; i < headers.length; i += 2) {
      map.add(headers[i], headers[i + 1]);
    }
    return AnswerFraming.of(status, map);
  }

  @Test
  void aLengthOrChunksMarkTheEnd() {
    assertEquals(AnswerFraming.LENGTH, of(200, "content-length", "0"));
    assertEquals(AnswerFraming.CHUNKS, of(200, "Transfer-Encoding", "chunked"));
    assertEquals(AnswerFraming.CHUNKS, of(200, "Transfer-Encoding", "gzip, Chunked"));
  }

  @Test
  void chunksGoBeforeALength() {
    assertEquals(
        AnswerFraming.CHUNKS, of(200, "Content-Length", "5", "Transfer-Encoding", "chunked"));
  }

  @Test
  void withoutEitherTheConnectionMarksTheEnd() {
    assertEquals(AnswerFraming.CONNECTION, of(200));
    assertEquals(AnswerFraming.CONNECTION, of(200, "Transfer-Encoding", "gzip"));
    assertEquals(AnswerFraming.CONNECTION, of(200, "Transfer-Encoding", "xchunked"));
    assertEquals(AnswerFraming.CONNECTION, of(200, "Transfer-Encoding", "gzip chunked"));
    assertEquals(AnswerFraming.CONNECTION, of(500, "Connection", "close"));
  }

  @Test
  void answersThatHaveNoBodyEndWithTheirHead() {
    assertEquals(AnswerFraming.LENGTH, of(204));
    assertEquals(AnswerFraming.LENGTH, of(304));
  }
}
