// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import org.fawndrum.transport.Versions;

/** Shows the version. */
final class Version extends Command {
  @Override
  int call() {
    out().println("fawndrum " + Versions.current());
    return ExitCode.DONE;
  }
}
