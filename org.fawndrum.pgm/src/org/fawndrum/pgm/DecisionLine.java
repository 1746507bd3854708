// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.time.Instant;
import java.util.Locale;
import org.fawndrum.protocol.OperatorMessages.DecisionView;
import org.fawndrum.protocol.OperatorMessages.PassedOverView;
import org.fawndrum.protocol.OperatorMessages.ReadingView;

/** Formats a decision as one human-readable line. */
final class DecisionLine {
  private DecisionLine() {}

  static String of(DecisionView decision) {
    StringBuilder line = new StringBuilder();
    line.append(
        String.format(
            Locale.ROOT,
            "%s +%dms %s %s/%s %s %d tokens: %s (%s)",
            Instant.ofEpochMilli(decision.atMs()),
            decision.sinceArrivalMs(),
            decision.request(),
            decision.workspace(),
            decision.className(),
            decision.target(),
            decision.promptTokens(),
            decision.decision(),
            decision.reason()));
    append(line, " at ", decision.endpoint());
    append(line, " ", decision.refusal());
    append(line, ", ran ", decision.ran());
    if (decision.retryAfterMs() != null && decision.retryAfterMs() >= 0) {
      line.append(", retry after ").append(decision.retryAfterMs()).append(" ms");
    }
    append(line, ", cell ", decision.cell());
    if (decision.reading() != null) {
      append(line, decision.reading());
    }
    if (decision.passedOver() != null) {
      line.append(", passed over");
      for (PassedOverView endpoint : decision.passedOver()) {
        line.append(' ')
            .append(endpoint.endpoint())
            .append('=')
            .append(endpoint.expectedMs())
            .append("ms");
      }
    }
    return line.toString();
  }

  private static void append(StringBuilder line, ReadingView reading) {
    line.append(", prefill on ").append(String.join(" ", reading.engines()));
    line.append(", first token expected after ").append(reading.expectedMs()).append(" ms");
    if (reading.tookMs() != null) {
      line.append(", took ").append(reading.tookMs()).append(" ms");
    }
  }

  private static void append(StringBuilder line, String before, String value) {
    if (value != null) {
      line.append(before).append(value);
    }
  }
}
