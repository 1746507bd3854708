// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.fawndrum.errors.BadSettingsException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;

/**
 * Reads the settings again when their file changes, with or without a signal. Settings that make no
 * sense are logged, and those in force stay. Confined to one event loop.
 */
public final class SettingsWatch {
  private static final long LOOK_MS = 2_000;

  private final Path file;
  private final Consumer<RelaySettings> changed;
  private final HostLog log;
  private RelaySettings inForce;
  private long readModifiedMs;

  /**
   * Makes a watch that has not started.
   *
   * @param inForce the settings that the host started with
   * @param changed takes settings that differ from those in force
   */
  public SettingsWatch(
      Path file, RelaySettings inForce, Consumer<RelaySettings> changed, HostLog log) {
    this.file = file;
    this.inForce = inForce;
    this.changed = changed;
    this.log = log;
    this.readModifiedMs = modifiedMs();
  }

  /** Looks at the file every two seconds from now on. */
  public void start(Vertx vertx) {
    vertx.setPeriodic(
        LOOK_MS,
        id -> {
          if (modifiedMs() != readModifiedMs) {
            read();
          }
        });
  }

  private long modifiedMs() {
    try {
      return Files.getLastModifiedTime(file).toMillis();
    } catch (IOException e) {
      // A file that is being replaced is looked at again soon.
      log.event(LogEvent.SETTINGS_UNREADABLE, String.valueOf(e));
      return readModifiedMs;
    }
  }

  /** Reads the file now. */
  public void read() {
    readModifiedMs = modifiedMs();
    try {
      RelaySettings newer = new ReadRelaySettings(file).call();
      if (newer.equals(inForce)) {
        log.event(LogEvent.SETTINGS_UNCHANGED);
        return;
      }
      inForce = newer;
      changed.accept(newer);
      log.event(LogEvent.SETTINGS_CHANGED);
    } catch (BadSettingsException e) {
      log.event(LogEvent.SETTINGS_UNREADABLE, e.getMessage());
    }
  }
}
