// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.util.List;
import java.util.function.Supplier;

/** The list of all commands. */
final class CommandCatalog {
  static final List<Entry> ALL =
      List.of(
          new Entry("check", "validate a daemon's settings file", Check::new),
          new Entry("table show", "show the current table", TableShow::new),
          new Entry("table set", "publish individual cells", TableSet::new),
          new Entry("table export", "write the current table as CSV", TableExport::new),
          new Entry("table import", "show the changes in a CSV file", TableImport::new),
          new Entry("table publish", "publish the changes in a CSV file", TablePublish::new),
          new Entry("table history", "list the most recent publications", TableHistory::new),
          new Entry("status", "show the state of a daemon", ShowStatus::new),
          new Entry("watch", "show decisions as they are made", Watch::new),
          new Entry("explain", "show the decisions about one request", Explain::new),
          new Entry("refused", "list requests rejected for crashing endpoints", Refused::new),
          new Entry("drain", "start the planned shutdown of a daemon", Drain::new),
          new Entry("send", "send a caller's request", Send::new),
          new Entry("version", "show the version", Version::new));

  /** A command's name of one or two words, its summary and its factory. */
  record Entry(String name, String summary, Supplier<Command> factory) {}

  private CommandCatalog() {}

  /** Returns the command named by the first words, or null if there is none. */
  static Entry find(String[] args) {
    String line = String.join(" ", args) + " ";
    for (Entry entry : ALL) {
      if (line.startsWith(entry.name() + " ")) {
        return entry;
      }
    }
    return null;
  }
}
