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

/** Shows one request's whole story. */
final class Explain extends DaemonCommand {
  @Argument(index = 0, required = true, metaVar = "REQUEST", usage = "the request's id")
  private String request;

  @Argument(
      index = 1,
      metaVar = "LOG...",
      multiValued = true,
      usage = "logs of daemons, - for standard input; without any the daemon is asked")
  private List<String> logs = new ArrayList<>();

  @Override
  int call() throws IOException, InterruptedException {
    return logs.isEmpty() ? fromDaemon() : fromLogs();
  }

  private int fromLogs() throws IOException {
    LogStory story = new LogStory(request);
    for (String log : logs) {
      try (BufferedReader reader = open(log)) {
        story.read(log, reader);
      }
    }
    if (story.lines().isEmpty()) {
      err().println("no line names request " + request);
      return ExitCode.FAILED;
    }
    story.lines().forEach(this::print);
    if (story.unreadable() > 0) {
      err().println(story.unreadable() + " lines could not be read");
    }
    return ExitCode.DONE;
  }

  private static BufferedReader open(String log) throws IOException {
    return "-".equals(log)
        ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
        : Files.newBufferedReader(Path.of(log));
  }

  private void print(LogStory.Line line) {
    if (json) {
      printJson(line);
      return;
    }
    String what =
        line.decision() != null
            ? DecisionLine.of(line.decision()) + " on " + line.basis()
            : line.details() != null ? line.details().toString() : line.text();
    out().println(line.from() + " " + line.id() + " " + what);
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
