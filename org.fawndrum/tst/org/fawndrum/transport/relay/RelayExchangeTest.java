// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.junit.jupiter.api.Test;

class RelayExchangeTest {
  private int resets;

  /** A caller's answer to which nothing was written. */
  private HttpServerResponse response() {
    return (HttpServerResponse)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {HttpServerResponse.class},
            (self, method, arguments) ->
                switch (method.getName()) {
                  case "closed", "ended", "headWritten" -> false;
                  case "headers" -> MultiMap.caseInsensitiveMultiMap();
                  case "reset" -> {
                    resets++;
                    yield Future.succeededFuture();
                  }
                  default -> throw new IllegalStateException(method.getName());
                });
  }

  private RelayExchange exchange() {
    RelayRequest request = new RelayRequest("r-1", Optional.empty(), 0, 0, 0, List.of(), 0);
    RelayCall call = new RelayCall(request, null, null, null, "/", null, null, null, null);
    RelayContext relay =
        new RelayContext(null, null, new FixedCodec(), null, null, null, null, null, null);
    return new RelayExchange(call, response(), () -> false, null, relay, null);
  }

  /** An answer whose write failed had no end: the refusal at the deadline did nothing. */
  @Test
  void aRefusalEndsAnAnswerThatCouldNotBeWritten() {
    RelayExchange exchange = exchange();
    MultiMap headers = MultiMap.caseInsensitiveMultiMap();
    RelayExchange.FullAnswer answer = new RelayExchange.FullAnswer(200, headers, Buffer.buffer());
    assertThrows(UnsupportedOperationException.class, () -> exchange.answered(null, answer));
    exchange.refuse(Refusal.notRun(RefusalKind.DEADLINE_PASSED));
    assertEquals(1, resets);
  }
}
