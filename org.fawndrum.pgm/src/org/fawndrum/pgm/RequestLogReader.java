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

/** Collects the lines about one request from the logs of several daemons. */
final class RequestLogReader {
  private final String request;
  private final List<Line> lines = new ArrayList<>();
  private int unreadable;

  /**
   * A log line.
   *
   * @param from the daemon that wrote it, or the name of the log
   * @param at the time as written in the log
   * @param id the message id
   * @param decision the decision, or null
   * @param basis the state on which the decision was based, or null
   * @param details the other values, or null
   * @param text the message text, or null
   */
  record Line(
      String from,
      String at,
      String id,
      DecisionView decision,
      JsonNode basis,
      JsonNode details,
      String text) {}

  RequestLogReader(String request) {
    this.request = request;
  }

  /**
   * Reads a log. Text before a line's JSON object is used as the name of the daemon that wrote it.
   */
  void read(String name, BufferedReader log) throws IOException {
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      int brace = line.indexOf('{');
      if (brace >= 0 && line.contains(request)) {
        parseLine(brace == 0 ? name : line.substring(0, brace).trim(), line.substring(brace));
      }
    }
  }

  private void parseLine(String from, String object) {
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
      // Other programs may write to the same file; such lines are counted.
      unreadable++;
    }
  }

  /** Returns the lines in order of time. */
  List<Line> lines() {
    lines.sort(Comparator.comparing(Line::at));
    return List.copyOf(lines);
  }

  /** Returns the number of lines that mention the request but could not be parsed. */
  int unreadable() {
    return unreadable;
  }
}
