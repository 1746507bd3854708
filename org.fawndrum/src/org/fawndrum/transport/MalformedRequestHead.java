// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.http.HttpServerRequest;
import org.fawndrum.coordination.RefusalKind;

/** Classifies requests whose head the HTTP server could not parse. */
public final class MalformedRequestHead {
  private MalformedRequestHead() {}

  /** Returns the kind of refusal for a request with a decoder failure. */
  public static RefusalKind refusalKind(HttpServerRequest request) {
    Throwable cause = request.decoderResult().cause();
    boolean tooLarge =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    return tooLarge ? RefusalKind.HEADERS_TOO_LARGE : RefusalKind.INVALID_REQUEST;
  }
}
