// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;

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
    if (status == NO_CONTENT || status == NOT_MODIFIED) {
      return LENGTH;
    }
    if (headers.contains(HttpHeaders.TRANSFER_ENCODING)) {
      String[] codings = codings(headers).split(",");
      return codings[codings.length - 1].trim().equalsIgnoreCase(CHUNKED) ? CHUNKS : CONNECTION;
    }
    return headers.contains(HttpHeaders.CONTENT_LENGTH) ? LENGTH : CONNECTION;
  }

  private static String codings(MultiMap headers) {
    return String.join(",", headers.getAll(HttpHeaders.TRANSFER_ENCODING));
  }

  /**
   * Returns whether the bytes of the body are in no transfer coding but chunks, which the HTTP
   * client removes. In any other they are not the body.
   */
  static boolean isDecoded(MultiMap headers) {
    return !headers.contains(HttpHeaders.TRANSFER_ENCODING)
        || codings(headers).trim().equalsIgnoreCase(CHUNKED);
  }
}
