// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.ReadStream;

/**
 * The head of an endpoint's answer, and its body as it arrives.
 *
 * @param statusCode its HTTP status
 * @param headers its headers
 * @param body its body; if its end is that of the connection, that is no proof that it is whole,
 *     and follows the failure of a lost connection, too
 */
public record EndpointAnswer(int statusCode, MultiMap headers, ReadStream<Buffer> body) {
  /** Returns what marks the end of the body. */
  public AnswerFraming framing() {
    return AnswerFraming.of(statusCode, headers);
  }
}
