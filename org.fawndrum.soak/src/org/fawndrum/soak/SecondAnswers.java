// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.http.HttpServerRequest;

/**
 * What an endpoint that answers twice sends: beginnings of second answers, each of a success, and
 * failures, whose callers must not get a success. Confined to one event loop.
 */
final class SecondAnswers {
  private static final String BEGUN =
      "HTTP/1.1 200 OK\r\nX-Response-Seal: seal-second\r\nX-Other: second\r\n";

  /** What is sent of it, in turn: a part of its first line, and of the value of a field. */
  private static final int[] CUTS = {15, 40, 56};

  /** One in this many requests fails. */
  private static final int REQUESTS_PER_FAILURE = 2;

  private static final int CONFLICT = 409;

  private int count;

  /** Returns the beginning of the next second answer. */
  String next() {
    int cut = CUTS[count++ % CUTS.length];
    return BEGUN.substring(0, cut);
  }

  /**
   * Lets a request fail if it is its turn; returns false if it is to be answered as usual.
   *
   * @param endpoint the name of the endpoint that fails it
   * @param number the number of the request at that endpoint
   */
  static boolean fail(HttpServerRequest request, String endpoint, int number) {
    if (number % REQUESTS_PER_FAILURE != 0) {
      return false;
    }
    request
        .response()
        .setStatusCode(CONFLICT)
        .putHeader("X-Request-Id", request.getHeader("X-Request-Id"))
        .putHeader("X-Response-Seal", "seal-" + endpoint)
        .end("failed");
    return true;
  }
}
