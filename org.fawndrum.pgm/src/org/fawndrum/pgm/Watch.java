// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.stream.Stream;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.OperatorMessages.DecisionView;
import org.kohsuke.args4j.Option;

/** Shows decisions as they are made, until it is ended. */
final class Watch extends DaemonCommand {
  @Option(name = "--workspace", usage = "only this workspace")
  private String workspace;

  @Option(name = "--length", usage = "only this length class: plain, to10k, to100k, over100k")
  private String length;

  @Option(name = "--outcome", usage = "only this decision or refusal, such as refused, queue_full")
  private String outcome;

  @Option(name = "--count", usage = "end after so many decisions; 0 for no end")
  private long count;

  @Override
  int call() throws IOException, InterruptedException {
    String query = part("workspace", workspace) + part("length", length) + part("outcome", outcome);
    long shown = 0;
    try (Stream<String> lines = lines("/watch?" + query)) {
      Iterator<String> each = lines.iterator();
      while (each.hasNext()) {
        String line = each.next();
        if (line.isEmpty()) {
          continue;
        }
        out().println(json ? line : DecisionLine.of(Json.read(line, DecisionView.class)));
        out().flush();
        if (++shown == count) {
          break;
        }
      }
    }
    return ExitCode.DONE;
  }

  private static String part(String name, String value) {
    return value == null ? "" : "&" + name + "=" + URLEncoder.encode(value, StandardCharsets.UTF_8);
  }
}
