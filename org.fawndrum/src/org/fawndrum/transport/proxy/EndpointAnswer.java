// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.streams.ReadStream;

/**
 * The head of an endpoint's answer, and its body as it arrives.
 *
 * @param statusCode its HTTP status
 * @param reason the text after its status; empty if it is not known
 * @param headers its headers
 * @param body its body; if its end is that of the connection, that is no proof that it is whole,
 *     and follows the failure of a lost connection, too
 */
public record EndpointAnswer(
    int statusCode, String reason, MultiMap headers, ReadStream<Buffer> body) {
  /** Lower ones are those of interim answers, which no body follows (RFC 9110, section 15.2). */
  private static final int MIN_FINAL_STATUS = 200;

  /** The end of the last class of statuses. */
  private static final int FINAL_STATUS_END = 600;

  /** Creates an answer whose reason is not known. */
  public EndpointAnswer(int statusCode, MultiMap headers, ReadStream<Buffer> body) {
    this(statusCode, "", headers, body);
  }

  /** Returns an answer that arrived over this host's own connection. */
  public static EndpointAnswer of(HttpClientResponse head) {
    String reason = head.statusMessage() == null ? "" : head.statusMessage();
    return new EndpointAnswer(head.statusCode(), reason, head.headers(), head);
  }

  /**
   * Returns whether this is a final answer. The HTTP client takes each number for a final status,
   * since of the interim answers it knows only 100 and 103.
   */
  public boolean isFinal() {
    return statusCode >= MIN_FINAL_STATUS && statusCode < FINAL_STATUS_END;
  }

  /**
   * Returns whether this is a final answer whose body can be read. The HTTP client passes on a body
   * in a transfer coding that it does not know. A head whose length is folded into another field
   * would make each part of the body a whole one.
   */
  public boolean isReadable() {
    return isFinal()
        && AnswerFraming.isDecoded(headers)
        && !(framing() == AnswerFraming.CONNECTION && FoldedFields.hideFraming(headers));
  }

  /** Returns what marks the end of the body. */
  public AnswerFraming framing() {
    return AnswerFraming.of(statusCode, headers);
  }

  /** Returns whether the head is the beginning of one answer and the rest of another. */
  public boolean isJoined() {
    return JoinedHeads.isJoined(reason, headers);
  }
}
