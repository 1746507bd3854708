// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.nio.file.Path;
import org.fawndrum.settings.HostSettings;
import org.fawndrum.settings.ReadSettings;
import org.fawndrum.settings.SettingsFile;
import org.fawndrum.transport.relay.ReadRelaySettings;
import org.fawndrum.transport.relay.RelaySettings;
import org.kohsuke.args4j.Argument;

/** Checks a settings file and names everything that is wrong with it. */
final class Check extends Command {
  /** Only the settings of a daemon that relays requests have this key. */
  private static final String RELAY_KEY = "readiness";

  @Argument(index = 0, required = true, metaVar = "SETTINGS", usage = "the settings file")
  private String file;

  @Override
  int call() {
    Path path = Path.of(file);
    if (SettingsFile.tree(path).has(RELAY_KEY)) {
      RelaySettings settings = new ReadRelaySettings(path).call();
      good(settings.host(), settings.zone());
    } else {
      HostSettings settings = new ReadSettings(path).call();
      good(settings.host(), settings.zone());
    }
    return ExitCode.DONE;
  }

  private void good(String host, String zone) {
    out().println(file + ": host " + host + " in zone " + zone + ", good");
  }
}
