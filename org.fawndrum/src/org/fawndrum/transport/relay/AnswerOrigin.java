// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.state.Endpoint;
import org.fawndrum.transport.proxy.EndpointAnswer;

/**
 * Determines whether an answer is that of the attempt whose connection it arrived on: the HTTP
 * client matches answers to requests by their order alone. Confined to one event loop.
 */
final class AnswerOrigin {
  private final RelayCodec codec;
  private final DecisionLog decisionLog;
  private final RelayCall call;
  private final Endpoint endpoint;

  AnswerOrigin(RelayCodec codec, DecisionLog decisionLog, RelayCall call, Endpoint endpoint) {
    this.codec = codec;
    this.decisionLog = decisionLog;
    this.call = call;
    this.endpoint = endpoint;
  }

  /**
   * Returns what an answer is to the attempt. Logs it if it may not be that of the attempt, and
   * tells the path if it is not.
   */
  RelayCodec.Answer kindOf(EndpointAnswer head, AttemptPath path) {
    if (!head.isFinal()) {
      // Nothing in it is believed: neither a refusal nor a notice.
      return RelayCodec.Answer.MISMATCHED;
    }
    String requestId = call.request().requestId();
    boolean joined = head.isJoined();
    // On a kept connection, an answer to nobody in particular may be a late one to somebody else.
    boolean unnamed = path.isKept() && !codec.namesRequest(head.headers());
    RelayCodec.Answer kind =
        joined || unnamed
            ? RelayCodec.Answer.MISMATCHED
            : codec.classifyAnswer(head.statusCode(), head.headers(), requestId);
    boolean keptForSame = path.sentBefore() && path.use().isKept();
    if (kind == RelayCodec.Answer.MISMATCHED || joined || keptForSame) {
      decisionLog.doubtfulAnswer(
          new DecisionLog.AnswerOriginDetails(
              requestId,
              endpoint.name(),
              head.statusCode(),
              kind,
              joined,
              path.sentBefore(),
              new DecisionLog.ConnectionView(path.use())));
    }
    if (kind == RelayCodec.Answer.MISMATCHED) {
      path.foreignAnswerReceived();
    }
    return kind;
  }
}
