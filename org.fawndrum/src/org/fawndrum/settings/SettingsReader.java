// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.errors.BadSettingsException;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.HostAddress;

/** Reads and validates a settings file. */
public final class SettingsReader {
  private static final String NAME = "[A-Za-z0-9][A-Za-z0-9.-]{0,62}";
  private static final String NAME_REMEDY = "write a name of letters, digits, dots and hyphens";
  private static final int MAX_PORT = 65_535;
  private static final int MIN_KEY_LENGTH = 8;
  private static final int MEGABYTE = 1 << 20;

  private final Path file;
  private final List<SettingsFault> faults = new ArrayList<>();

  /** Creates a reader of the given file. */
  public SettingsReader(Path file) {
    this.file = file;
  }

  /**
   * Returns the validated settings.
   *
   * @throws BadSettingsException if the settings are invalid; lists all errors
   */
  public HostSettings read() {
    HostSettings settings = parse(new SettingsNode("", SettingsFile.tree(file), faults));
    if (!faults.isEmpty()) {
      throw new BadSettingsException(file.toString(), faults);
    }
    return settings;
  }

  private HostSettings parse(SettingsNode root) {
    HostSettings settings =
        new HostSettings(
            root.text("host", NAME, NAME_REMEDY),
            root.text("zone", NAME, NAME_REMEDY),
            listen(root.object("callers")),
            listen(root.object("operators")),
            listen(root.object("peers")),
            address(root.object("platform")),
            root.objects("seeds").stream().map(this::address).toList(),
            callerKeys(root),
            operatorKeys(root),
            limits(root),
            "json".equals(root.text("log", "json|text", "write \"json\" or \"text\"", "text")),
            root.flag("debug", false));
    root.reportUnknownKeys();
    checkAddresses(root, settings);
    return settings;
  }

  private void checkAddresses(SettingsNode root, HostSettings settings) {
    Set<HostAddress> usedAddresses = new HashSet<>();
    for (ListenSettings listen :
        List.of(settings.callers(), settings.operators(), settings.peers())) {
      if (!usedAddresses.add(listen.address()) && listen.address().port() != 0) {
        root.fault("callers, operators, peers", listen.address(), "give each its own address");
      }
    }
  }

  private ListenSettings listen(SettingsNode node) {
    HostAddress address = new HostAddress(node.ip("ip"), (int) node.number("port", 0, MAX_PORT));
    Optional<TlsSettings> tls =
        node.has("tls") ? Optional.of(tls(node.object("tls"))) : Optional.empty();
    node.reportUnknownKeys();
    return new ListenSettings(address, tls);
  }

  private TlsSettings tls(SettingsNode node) {
    TlsSettings tls =
        new TlsSettings(
            readableFile(node, "certificate"),
            readableFile(node, "key"),
            node.has("trusted") ? readableFile(node, "trusted") : "");
    node.reportUnknownKeys();
    return tls;
  }

  private String readableFile(SettingsNode node, String key) {
    String name = node.text(key, ".+", "name a PEM file");
    if (!name.isEmpty() && !Files.isReadable(Path.of(name))) {
      node.fault(key, name, "name a PEM file that can be read");
    }
    return name;
  }

  private HostAddress address(SettingsNode node) {
    HostAddress address = new HostAddress(node.ip("ip"), (int) node.number("port", 1, MAX_PORT));
    node.reportUnknownKeys();
    return address;
  }

  private List<CallerKey> callerKeys(SettingsNode root) {
    List<CallerKey> keys = new ArrayList<>();
    Set<String> usedKeys = new HashSet<>();
    for (SettingsNode node : root.objects("callerKeys")) {
      String key = node.secret("key", MIN_KEY_LENGTH);
      String text = node.text("group", ".+", "write workspace/class");
      CallerGroup group = CallerGroup.parse(text);
      if (group == null) {
        node.fault("group", text, "write workspace/class");
        group = new CallerGroup("-", "-");
      }
      if (!usedKeys.add(key)) {
        node.fault("key", "(not shown)", "give each group its own key");
      }
      node.reportUnknownKeys();
      keys.add(new CallerKey(key, group));
    }
    return keys;
  }

  private List<OperatorKey> operatorKeys(SettingsNode root) {
    List<OperatorKey> keys = new ArrayList<>();
    for (SettingsNode node : root.objects("operatorKeys")) {
      keys.add(
          new OperatorKey(
              node.secret("key", MIN_KEY_LENGTH),
              node.text("operator", NAME, NAME_REMEDY),
              node.flag("mayChange", false)));
      node.reportUnknownKeys();
    }
    return keys;
  }

  private LimitSettings limits(SettingsNode root) {
    SettingsNode node =
        root.has("limits")
            ? root.object("limits")
            : new SettingsNode("limits", SettingsFile.empty(), faults);
    LimitSettings limits =
        new LimitSettings(
            node.number("bodyBytes", 1_024, 256L * MEGABYTE, 16L * MEGABYTE),
            (int) node.number("headerBytes", 1_024, MEGABYTE, 16_384),
            node.number("promptTokens", 1, 16L * MEGABYTE, 1_100_000),
            node.number("incompleteMs", 100, 600_000, 10_000),
            node.number("endpointSilenceMs", 100, 600_000, 10_000),
            (int) node.number("ringEvents", 64, MEGABYTE, 8_192));
    if (Integer.bitCount(limits.ringEvents()) != 1) {
      node.fault("ringEvents", limits.ringEvents(), "write a power of two, such as 8192");
    }
    node.reportUnknownKeys();
    return limits;
  }
}
