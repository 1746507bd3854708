// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import java.io.PrintStream;
import org.fawndrum.protocol.Json;
import org.kohsuke.args4j.Option;

/** A command of the command line. Fields hold its options; {@link #call} runs it. */
abstract class Command {
  @Option(name = "--help", aliases = "-h", help = true, usage = "print this help")
  boolean help;

  @Option(name = "--json", usage = "print JSON")
  boolean json;

  private PrintStream out = System.out;
  private PrintStream err = System.err;

  /** Sets the streams to which the command prints. */
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
   * Runs the command.
   *
   * @return an {@link ExitCode}
   * @throws IOException if a file or a connection fails
   * @throws InterruptedException if the thread is interrupted
   */
  abstract int call() throws IOException, InterruptedException;

  void printJson(Object message) {
    out.println(Json.write(message));
  }
}
