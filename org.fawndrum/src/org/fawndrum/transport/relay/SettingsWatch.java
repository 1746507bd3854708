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
 * Reloads the settings when their file changes, with or without a signal. Invalid settings are
 * logged, and the current ones stay in force. Confined to one event loop.
 */
public final class SettingsWatch {
  private static final long POLL_MS = 2_000;

  private final Path file;
  private final Consumer<RelaySettings> onChange;
  private final HostLog log;
  private RelaySettings inForce;
  private long lastModifiedMs;

  /**
   * Creates a watch that has not started.
   *
   * @param inForce the settings that the host started with
   * @param onChange receives settings that differ from those in force
   */
  public SettingsWatch(
      Path file, RelaySettings inForce, Consumer<RelaySettings> onChange, HostLog log) {
    this.file = file;
    this.inForce = inForce;
    this.onChange = onChange;
    this.log = log;
    this.lastModifiedMs = modifiedMs();
  }

  /** Starts checking the file every two seconds. */
  public void start(Vertx vertx) {
    vertx.setPeriodic(
        POLL_MS,
        id -> {
          if (modifiedMs() != lastModifiedMs) {
            read();
          }
        });
  }

  private long modifiedMs() {
    try {
      return Files.getLastModifiedTime(file).toMillis();
    } catch (IOException e) {
      // A file that is being replaced is checked again with the next poll.
      log.event(LogEvent.SETTINGS_NOT_LOADED, String.valueOf(e));
      return lastModifiedMs;
    }
  }

  /** Reads the file now. */
  public void read() {
    lastModifiedMs = modifiedMs();
    try {
      RelaySettings newer = new RelaySettingsReader(file).read();
      if (newer.equals(inForce)) {
        log.event(LogEvent.SETTINGS_UNCHANGED);
        return;
      }
      inForce = newer;
      onChange.accept(newer);
      log.event(LogEvent.SETTINGS_RELOADED);
    } catch (BadSettingsException e) {
      log.event(LogEvent.SETTINGS_NOT_LOADED, e.getMessage());
    }
  }
}
