// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import java.nio.file.Path;
import org.fawndrum.errors.BadSettingsException;
import org.fawndrum.settings.HostSettings;
import org.fawndrum.settings.SettingsReader;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Command line entry point of the daemon of an entry host: {@code fawndrumd SETTINGS}. */
public final class DaemonMain {
  private static final int EXIT_USAGE = 2;

  @Argument(index = 0, required = true, metaVar = "SETTINGS", usage = "the settings file")
  private String file;

  private DaemonMain() {}

  /** Runs the daemon. Exit codes: 0 stopped, 1 failed, 2 invalid settings or usage. */
  public static void main(String[] args) {
    LogSetup.selectLogManager();
    DaemonMain main = new DaemonMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
      HostSettings settings = new SettingsReader(Path.of(main.file)).read();
      LogSetup.configure(settings.jsonLog(), settings.debugLog());
      new RunDaemon(settings, main.file).call();
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(EXIT_USAGE);
    } catch (BadSettingsException e) {
      System.err.println("settings " + main.file + ":");
      e.faults().forEach(fault -> System.err.println("  " + fault));
      System.exit(EXIT_USAGE);
    }
  }
}
