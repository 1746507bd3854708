// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.http.HttpServerRequest;
import org.fawndrum.coordination.RefusalKind;

/** Recognizes requests with a malformed head, and classifies those that could not be parsed. */
public final class MalformedRequestHead {
  private MalformedRequestHead() {}

  /** Returns whether a field has no name, which the HTTP server's parser lets pass. */
  public static boolean hasNamelessField(HttpServerRequest request) {
    return request.headers().contains("");
  }

  /** Returns the kind of refusal for a request with a decoder failure. */
  public static RefusalKind refusalKind(HttpServerRequest request) {
    Throwable cause = request.decoderResult().cause();
    boolean tooLarge =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    return tooLarge ? RefusalKind.HEADERS_TOO_LARGE : RefusalKind.INVALID_REQUEST;
  }
}
