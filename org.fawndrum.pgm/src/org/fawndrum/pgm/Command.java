// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import java.io.PrintStream;
import org.fawndrum.protocol.Json;
import org.kohsuke.args4j.Option;

/** A command of the operators' program. Options are fields; {@link #call} does the work. */
abstract class Command {
  @Option(name = "--help", aliases = "-h", help = true, usage = "print this help")
  boolean help;

  @Option(name = "--json", usage = "print JSON, for machines")
  boolean json;

  private PrintStream out = System.out;
  private PrintStream err = System.err;

  /** Sets where the command prints. */
  void printTo(PrintStream newOut, PrintStream newErr) {
    out = newOut;
    err = newErr;
  }

  PrintStream out() {
    return out;
  }

  PrintStream err() {
    return err;
  }

  /**
   * Does the work.
   *
   * @return an {@link ExitCode}
   * @throws IOException if a file or a connection fails
   * @throws InterruptedException if the process is being ended
   */
  abstract int call() throws IOException, InterruptedException;

  void printJson(Object message) {
    out.println(Json.write(message));
  }
}
