// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.util.Locale;

/** What marks the end of an HTTP/1.1 answer (RFC 9112, section 6.3). */
public enum AnswerFraming {
  /** A length in its head. */
  LENGTH,
  /** The last chunk. */
  CHUNKS,
  /** The end of its connection, which is no proof that the answer is whole. */
  CONNECTION;

  private static final String CHUNKED = "chunked";
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /** Returns the framing of an answer to a request other than HEAD or CONNECT. */
  public static AnswerFraming of(int status, MultiMap headers) {
    String coding = headers.get(HttpHeaders.TRANSFER_ENCODING);
    if (status == NO_CONTENT || status == NOT_MODIFIED) {
      return LENGTH;
    }
    if (coding != null) {
      return coding.trim().toLowerCase(Locale.ROOT).endsWith(CHUNKED) ? CHUNKS : CONNECTION;
    }
    return headers.contains(HttpHeaders.CONTENT_LENGTH) ? LENGTH : CONNECTION;
  }
}
