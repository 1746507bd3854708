// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.nio.file.Path;
import org.fawndrum.settings.HostSettings;
import org.fawndrum.settings.ReadSettings;
import org.kohsuke.args4j.Argument;

/** Checks a settings file and names everything that is wrong with it. */
final class Check extends Command {
  @Argument(index = 0, required = true, metaVar = "SETTINGS", usage = "the settings file")
  private String file;

  @Override
  int call() {
    HostSettings settings = new ReadSettings(Path.of(file)).call();
    out().println(file + ": host " + settings.host() + " in zone " + settings.zone() + ", good");
    return ExitCode.DONE;
  }
}
