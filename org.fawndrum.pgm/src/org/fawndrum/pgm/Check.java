// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.nio.file.Path;
import org.fawndrum.settings.HostSettings;
import org.fawndrum.settings.SettingsFile;
import org.fawndrum.settings.SettingsReader;
import org.fawndrum.transport.relay.RelaySettings;
import org.fawndrum.transport.relay.RelaySettingsReader;
import org.kohsuke.args4j.Argument;

/** Validates a settings file and reports all errors in it. */
final class Check extends Command {
  /** A key that only the settings of a daemon on the platform have. */
  private static final String RELAY_KEY = "readiness";

  @Argument(index = 0, required = true, metaVar = "SETTINGS", usage = "the settings file")
  private String file;

  @Override
  int call() {
    Path path = Path.of(file);
    if (SettingsFile.tree(path).has(RELAY_KEY)) {
      RelaySettings settings = new RelaySettingsReader(path).read();
      printValid(settings.host(), settings.zone());
    } else {
      HostSettings settings = new SettingsReader(path).read();
      printValid(settings.host(), settings.zone());
    }
    return ExitCode.DONE;
  }

  private void printValid(String host, String zone) {
    out().println(file + ": host " + host + " in zone " + zone + ", valid");
  }
}
