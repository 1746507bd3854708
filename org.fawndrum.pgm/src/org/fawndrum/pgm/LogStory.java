// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.OperatorMessages.DecisionView;

/** Gathers what the logs of several daemons say about one request. */
final class LogStory {
  private final String request;
  private final List<Line> lines = new ArrayList<>();
  private int unreadable;

  /**
   * A line of a log.
   *
   * @param from whose log it stands in
   * @param at when it was written, as the log says it
   * @param id the id of its message
   * @param decision the decision that it shows, or null
   * @param basis what the decision rested on, or null
   * @param details other named values, or null
   * @param text its text, or null
   */
  record Line(
      String from,
      String at,
      String id,
      DecisionView decision,
      JsonNode basis,
      JsonNode details,
      String text) {}

  LogStory(String request) {
    this.request = request;
  }

  /** Reads a log; what stands before a line's object is taken as whose it is. */
  void read(String name, BufferedReader log) throws IOException {
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      int brace = line.indexOf('{');
      if (brace >= 0 && line.contains(request)) {
        take(brace == 0 ? name : line.substring(0, brace).trim(), line.substring(brace));
      }
    }
  }

  private void take(String from, String object) {
    try {
      JsonNode line = Json.read(object, JsonNode.class);
      if (!request.equals(line.path("request").asText())) {
        return;
      }
      JsonNode details = line.get("details");
      JsonNode decision = details == null ? null : details.get("decision");
      lines.add(
          new Line(
              from,
              line.path("at").asText(),
              line.path("id").asText(),
              decision == null ? null : Json.read(decision.toString(), DecisionView.class),
              details == null ? null : details.get("basis"),
              decision == null ? details : null,
              line.has("message") ? line.get("message").asText() : null));
    } catch (IOException e) {
      // Other programs may write to the same file; how many such lines there were is shown.
      unreadable++;
    }
  }

  /** Returns the lines in the order of their times. */
  List<Line> lines() {
    lines.sort(Comparator.comparing(Line::at));
    return List.copyOf(lines);
  }

  /** Returns how many lines named the request and could not be read. */
  int unreadable() {
    return unreadable;
  }
}
