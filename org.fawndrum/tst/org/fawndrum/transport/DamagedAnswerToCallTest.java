// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.buffer.Buffer;
import java.net.http.HttpResponse;
import org.fawndrum.transport.HastyServer.Ending;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plain services that send a damaged head. */
class DamagedAnswerToCallTest {
  private static HttpResponse<String> send(String answer) throws Exception {
    try (HastyServer service = new HastyServer(answer, Ending.ENDED_IN_ORDER);
        CallSite site = new CallSite(service.port(), Buffer.buffer())) {
      return site.send("r-1");
    }
  }

  /** Callers got a number that is no status in place of an answer. */
  @ParameterizedTest
  @ValueSource(strings = {"000 X", "102 X", "20", "600 X"})
  void whatHasNoFinalStatusIsNoAnswer(String status) throws Exception {
    String answer = "HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\nbody";
    assertEquals(CallSite.LOST, send(answer).statusCode());
  }

  /** A head without a status promised that a call had not run. */
  @ParameterizedTest
  @ValueSource(strings = {"000 X"})
  void whatHasNoFinalStatusIsNoRefusal(String status) throws Exception {
    String answer = "HTTP/1.1 " + status + "\r\nX-Ran: no\r\nContent-Length: 0\r\n\r\n";
    assertEquals(CallSite.LOST, send(answer).statusCode());
  }

  /** Callers got half a body: a damaged name had hidden the length of the whole. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content Length: 60",
        "Content-Lengt h: 60",
        " Content-Length: 60",
        "Content\u0001Length: 60",
        "Transfer Encoding: chunked"
      })
  void anAnswerWithADamagedLengthIsNotWhole(String field) throws Exception {
    String answer = "HTTP/1.1 200 OK\r\nX-Other: v\r\n" + field + "\r\n\r\nhalf";
    assertEquals(CallSite.LOST, send(answer).statusCode());
  }

  /** Callers got a body in a coding that nobody had undone. */
  @ParameterizedTest
  @ValueSource(strings = {"gzip", "gzip, chunked"})
  void aBodyInAnUnknownTransferCodingIsNotPassedOn(String coding) throws Exception {
    String fields = "Transfer-Encoding: " + coding + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    assertEquals(CallSite.LOST, send("HTTP/1.1 200 OK\r\n" + fields).statusCode());
  }
}
