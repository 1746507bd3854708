// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.vertx.core.buffer.Buffer;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Plain services that answer twice: their answers carry no id. */
class SecondAnswerToCallTest {
  private StutteringServer service;
  private CallSite site;

  @BeforeEach
  void start() throws Exception {
    service = new StutteringServer();
    site = new CallSite(service.port(), Buffer.buffer());
  }

  @AfterEach
  void close() throws Exception {
    site.close();
    service.close();
  }

  private HttpResponse<String> send(String id) throws Exception {
    HttpResponse<String> answer = site.send(id);
    Thread.sleep(StutteringServer.BETWEEN_MS);
    return answer;
  }

  /** Callers got the second answer to an earlier request in the place of their own. */
  @Test
  void aSecondAnswerIsNotThatToTheNextRequest() throws Exception {
    service.setAnswer(StutteringServer.answer("200 OK", "first"));
    assertEquals("first", send("r-1").body());
    service.setAnswer(StutteringServer.answer("409 Conflict", "second"));
    HttpResponse<String> next = send("r-2");
    assertEquals("second", next.body());
    assertEquals(409, next.statusCode());
  }

  /** Callers got the status of an answer that was broken off with the body of the next one. */
  @Test
  void aBrokenAnswerDoesNotLendItsStatusToTheNextAnswer() throws Exception {
    for (String begun : List.of("HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nX-Other: ")) {
      service.setAnswer(begun + StutteringServer.answer("409 Conflict", "second"));
      assertNotEquals(200, send("r-1").statusCode());
    }
  }
}
