// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;

/** Writes the current table as CSV and prints its revision. */
final class TableExport extends DaemonCommand {
  @Argument(index = 0, metaVar = "FILE", usage = "file to write (default: standard output)")
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
    err().println("revision " + revision + "; pass it to table publish with --edited-from");
    return ExitCode.DONE;
  }
}
