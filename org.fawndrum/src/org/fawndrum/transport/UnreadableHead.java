// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.http.HttpServerRequest;
import org.fawndrum.coordination.RefusalKind;

/** Tells what is wrong with a request whose head the server could not read. */
public final class UnreadableHead {
  private UnreadableHead() {}

  /** Returns the kind of refusal that such a request gets. */
  public static RefusalKind kind(HttpServerRequest request) {
    Throwable cause = request.decoderResult().cause();
    boolean tooLarge =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    return tooLarge ? RefusalKind.HEADERS_TOO_LARGE : RefusalKind.INVALID_REQUEST;
  }
}
