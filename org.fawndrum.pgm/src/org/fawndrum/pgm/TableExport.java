// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;

/** Writes the table in force as CSV, with the revision that it was read from. */
final class TableExport extends DaemonCommand {
  @Argument(index = 0, metaVar = "FILE", usage = "where to write; standard output when left out")
  private String file;

  @Override
  int call() throws IOException, InterruptedException {
    HttpResponse<String> response = get("/table.csv");
    String revision = response.headers().firstValue("x-table-revision").orElse("-1");
    if (file == null) {
      out().print(response.body());
    } else {
      Files.writeString(Path.of(file), response.body());
    }
    err().println("revision " + revision + "; give it to table publish with --edited-from");
    return ExitCode.DONE;
  }
}
