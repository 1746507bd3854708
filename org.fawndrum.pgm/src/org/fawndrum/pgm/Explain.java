// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.fawndrum.protocol.OperatorMessages.Story;
import org.kohsuke.args4j.Argument;

/** Shows all decisions about one request, from a daemon or from log files. */
final class Explain extends DaemonCommand {
  @Argument(index = 0, required = true, metaVar = "REQUEST", usage = "the request's id")
  private String request;

  @Argument(
      index = 1,
      metaVar = "LOG...",
      multiValued = true,
      usage = "log files of daemons, - for standard input (default: query the daemon)")
  private List<String> logs = new ArrayList<>();

  @Override
  int call() throws IOException, InterruptedException {
    return logs.isEmpty() ? fromDaemon() : fromLogs();
  }

  private int fromLogs() throws IOException {
    RequestLogReader logReader = new RequestLogReader(request);
    for (String log : logs) {
      try (BufferedReader reader = open(log)) {
        logReader.read(log, reader);
      }
    }
    if (logReader.lines().isEmpty()) {
      err().println("no line mentions request " + request);
      return ExitCode.FAILED;
    }
    logReader.lines().forEach(this::print);
    if (logReader.unreadable() > 0) {
      err().println(logReader.unreadable() + " lines could not be read");
    }
    return ExitCode.DONE;
  }

  private static BufferedReader open(String log) throws IOException {
    return "-".equals(log)
        ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
        : Files.newBufferedReader(Path.of(log));
  }

  private void print(RequestLogReader.Line line) {
    if (json) {
      printJson(line);
      return;
    }
    String content =
        line.decision() != null
            ? DecisionLine.of(line.decision()) + " on " + line.basis()
            : line.details() != null ? line.details().toString() : line.text();
    out().println(line.from() + " " + line.id() + " " + content);
  }

  private int fromDaemon() throws IOException, InterruptedException {
    Story story = get("/explain/" + request, Story.class);
    if (json) {
      printJson(story);
    } else {
      story.decisions().forEach(decision -> out().println(DecisionLine.of(decision)));
    }
    return ExitCode.DONE;
  }
}
