// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.bench;

import java.io.IOException;

/** A benchmark. Fields hold its options. */
interface BenchCommand {
  /**
   * Runs the benchmark and prints its results.
   *
   * @return the exit code
   * @throws IOException if a file cannot be written
   */
  int call() throws IOException;
}
