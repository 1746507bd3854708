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

/** Shows decisions as they are made, until the process is interrupted or the count is reached. */
final class Watch extends DaemonCommand {
  @Option(name = "--workspace", usage = "only this workspace")
  private String workspace;

  @Option(name = "--length", usage = "only this length class: plain, to10k, to100k, over100k")
  private String length;

  @Option(name = "--outcome", usage = "only this decision or refusal, such as refused, queue_full")
  private String outcome;

  @Option(name = "--count", usage = "exit after this many decisions; 0 for no limit")
  private long count;

  @Override
  int call() throws IOException, InterruptedException {
    String query =
        queryParameter("workspace", workspace)
            + queryParameter("length", length)
            + queryParameter("outcome", outcome);
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

  private static String queryParameter(String name, String value) {
    return value == null ? "" : "&" + name + "=" + URLEncoder.encode(value, StandardCharsets.UTF_8);
  }
}
