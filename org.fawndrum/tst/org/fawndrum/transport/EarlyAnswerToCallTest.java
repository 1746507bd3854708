// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.buffer.Buffer;
import java.net.http.HttpResponse;
import org.fawndrum.transport.HastyServer.Ending;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Plain services that answer a long call before they have read it. */
class EarlyAnswerToCallTest {
  /** Above what the system buffers of a connection. */
  private static final int UPLOAD_BYTES = 12 << 20;

  private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\n";
  private static final String PART = "half of an answer";

  /** What a reset meets, a write or a read, is a matter of chance. */
  private static final int CALLS = 8;

  private static CallSite site(HastyServer service) throws Exception {
    return new CallSite(service.port(), Buffer.buffer("b".repeat(UPLOAD_BYTES)));
  }

  /** Callers got what had come as a whole answer, since the write met the reset, and no read. */
  @ParameterizedTest
  @EnumSource(names = {"RESET_AT_ONCE", "RESET_UNREAD", "RESET_WITHIN_THE_BODY"})
  void anAnswerThatIsResetWithinTheUploadIsNotWhole(Ending ending) throws Exception {
    try (HastyServer service = new HastyServer(UNFRAMED + PART, ending);
        CallSite site = site(service)) {
      int whole = 0;
      for (int i = 0; i < CALLS; i++) {
        whole += site.send("r-" + i).statusCode() == CallSite.LOST ? 0 : 1;
      }
      assertEquals(0, whole, "of " + CALLS + " look whole");
    }
  }

  /** Whether a service closed the connection in order can't be told where it was within a call. */
  @Test
  void anAnswerThatEndsInOrderBeforeTheUploadIsNotKnownToBeWhole() throws Exception {
    try (HastyServer service = new HastyServer(UNFRAMED + PART, Ending.ENDED_IN_ORDER);
        CallSite site = site(service)) {
      assertEquals(CallSite.LOST, site.send("r-1").statusCode());
    }
  }

  /** A length says that the answer is whole, whatever becomes of the call. */
  @Test
  void aFramedAnswerBeforeTheEndOfTheUploadIsPassedOn() throws Exception {
    String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + PART.length() + "\r\n\r\n" + PART;
    try (HastyServer service = new HastyServer(answer, Ending.ENDED_IN_ORDER);
        CallSite site = site(service)) {
      HttpResponse<String> received = site.send("r-1");
      assertEquals(200, received.statusCode());
      assertEquals(PART, received.body());
    }
  }
}
