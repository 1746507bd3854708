// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.backpressure.HoldLimits;
import org.fawndrum.errors.BadSettingsException;
import org.fawndrum.settings.SettingsFault;
import org.fawndrum.settings.SettingsFile;
import org.fawndrum.settings.SettingsNode;
import org.fawndrum.state.HostAddress;

/** Reads and validates the settings file of a daemon that relays requests. */
public final class RelaySettingsReader {
  private static final long MAX_MS = 3_600_000;
  private static final long MAX_S = 3_600;
  private static final long MS_PER_SECOND = 1_000;

  /** Above what a few queries to the store take, in milliseconds. */
  private static final long MIN_APPLY_MS = 500;

  /** The time for a new configuration where settings name none, in milliseconds. */
  private static final long DEFAULT_APPLY_MS = 2_000;

  private static final double MAX_LINK_MEGABITS = 1e6;
  private static final double MAX_RETRIES = 1e9;

  private static final int KILOBYTE = 1 << 10;
  private static final int MEGABYTE = 1 << 20;
  private static final int MAX_BYTES = 1 << 30;

  /** Above the interval at which callers' connections are checked, in milliseconds. */
  private static final long MIN_UNREAD_MS = 500;

  /**
   * Maximum time for which an answer may be unread, in milliseconds. Endpoints end it after some
   * seconds, and memory reserved on other engines expires before that.
   */
  private static final long MAX_UNREAD_MS = 2_500;

  private static final String FINGERPRINT = "[0-9a-f]{32}";

  private final Path file;
  private final List<SettingsFault> faults = new ArrayList<>();

  /** Creates a reader of one file. */
  public RelaySettingsReader(Path file) {
    this.file = file;
  }

  /**
   * Returns the settings.
   *
   * @throws BadSettingsException if the settings are invalid; lists all faults
   */
  public RelaySettings read() {
    SettingsNode root = new SettingsNode("", SettingsFile.tree(file), faults);
    HostAddress peers = root.address("peers");
    RelaySettings settings =
        new RelaySettings(
            root.text("host", "[\\w.-]+", "write a name of letters, digits, dots and hyphens"),
            root.text("zone", "[\\w.-]+", "write a name of letters, digits, dots and hyphens"),
            root.address("callers"),
            root.address("readiness"),
            peers,
            proxy(root, peers),
            root.address("metrics"),
            root.address("platform"),
            root.fraction("linkMegabits", 0, MAX_LINK_MEGABITS),
            root.addresses("seeds").stream()
                .map(seed -> new HostAddress(seed.ip(), peers.port()))
                .toList(),
            bounds(root.object("bounds")),
            root.has("hold") ? hold(root.object("hold")) : HoldLimits.DEFAULT,
            root.texts("letGo", FINGERPRINT, "write a fingerprint of 32 hexadecimal digits"),
            root.flag("debug", false));
    root.reportUnknownKeys();
    if (!faults.isEmpty()) {
      throw new BadSettingsException(file.toString(), faults);
    }
    return settings;
  }

  private static Optional<HostAddress> proxy(SettingsNode root, HostAddress peers) {
    if (!root.has("proxy")) {
      return Optional.empty();
    }
    HostAddress proxy = root.address("proxy");
    if (!proxy.ip().equals(peers.ip())) {
      root.fault("proxy", proxy, "write the IP address of peers, with another port");
    }
    return Optional.of(proxy);
  }

  private static RelayBounds bounds(SettingsNode node) {
    RelayBounds bounds =
        new RelayBounds(
            node.flag("keysNeedProof", true),
            node.number("revokeMs", 1, MAX_MS),
            node.number("applyMs", MIN_APPLY_MS, MAX_MS, DEFAULT_APPLY_MS),
            node.number("drainMs", 1, MAX_MS),
            node.number("graceS", 1, MAX_S) * MS_PER_SECOND,
            node.fraction("retryRatio", 0, MAX_RETRIES),
            node.fraction("retrySlack", 0, MAX_RETRIES),
            node.number("retryWindowS", 1, MAX_S) * MS_PER_SECOND,
            node.number("streamPassMs", 1, MAX_MS));
    node.reportUnknownKeys();
    return bounds;
  }

  private static HoldLimits hold(SettingsNode node) {
    HoldLimits limits =
        new HoldLimits(
            node.number("totalBytes", MEGABYTE, MAX_BYTES, HoldLimits.DEFAULT_TOTAL_BYTES),
            (int) node.number("callerBytes", KILOBYTE, MAX_BYTES, HoldLimits.DEFAULT_CALLER_BYTES),
            (int) node.number("answerBytes", KILOBYTE, MAX_BYTES, HoldLimits.DEFAULT_ANSWER_BYTES),
            (int) node.number("eventBytes", KILOBYTE, MAX_BYTES, HoldLimits.DEFAULT_EVENT_BYTES),
            node.number("unreadMs", MIN_UNREAD_MS, MAX_UNREAD_MS, HoldLimits.DEFAULT_UNREAD_MS));
    if (Math.max(limits.callerBytes(), limits.answerBytes()) > limits.totalBytes()) {
      node.fault(
          "totalBytes",
          limits.totalBytes(),
          "write at least the bytes of one caller and one answer");
    }
    node.reportUnknownKeys();
    return limits;
  }
}
