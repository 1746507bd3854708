// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.fawndrum.state.HostAddress;

/**
 * An object of a settings file during validation. Each accessor records the key as known and adds a
 * fault if the value is invalid; {@link #reportUnknownKeys} adds a fault for each key that was not
 * read.
 */
public final class SettingsNode {
  private static final int MAX_SHOWN_CHARS = 60;
  private static final Pattern IP =
      Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*");

  private final String path;
  private final JsonNode node;
  private final List<SettingsFault> faults;
  private final Set<String> knownKeys = new HashSet<>();

  /**
   * Creates a node.
   *
   * @param path path of the object's key; empty for the root
   * @param node the object; adds a fault if it is not an object
   * @param faults list that faults are added to
   */
  public SettingsNode(String path, JsonNode node, List<SettingsFault> faults) {
    this.path = path;
    this.node = node;
    this.faults = faults;
    if (!node.isObject()) {
      fault("", node, "write an object in braces");
    }
  }

  private String keyPath(String key) {
    return path.isEmpty() ? key : key.isEmpty() ? path : path + "." + key;
  }

  /** Adds a fault for a key of this object. */
  public void fault(String key, Object value, String remedy) {
    String text = String.valueOf(value);
    String abbreviated =
        text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
    faults.add(new SettingsFault(keyPath(key), abbreviated, remedy));
  }

  private JsonNode value(String key) {
    knownKeys.add(key);
    JsonNode value = node.get(key);
    return value == null ? MissingNode.getInstance() : value;
  }

  /** Whether a key is present. */
  public boolean has(String key) {
    return !value(key).isMissingNode();
  }

  /** Returns a required text that must match a pattern; empty if it is invalid. */
  public String text(String key, String pattern, String remedy) {
    JsonNode value = value(key);
    if (!value.isTextual() || !value.textValue().matches(pattern)) {
      fault(key, display(value), remedy);
      return "";
    }
    return value.textValue();
  }

  /** Returns a required text whose value never appears in messages; empty if it is invalid. */
  public String secret(String key, int minLength) {
    JsonNode value = value(key);
    if (!value.isTextual() || value.textValue().length() < minLength) {
      fault(key, "(not shown)", "write a text of at least " + minLength + " characters");
      return "";
    }
    return value.textValue();
  }

  /** Returns an optional text that must match a pattern. */
  public String text(String key, String pattern, String remedy, String defaultValue) {
    return has(key) ? text(key, pattern, remedy) : defaultValue;
  }

  /** Returns a required IP address in text form; {@code 0.0.0.0} if it is invalid. */
  public String ip(String key) {
    JsonNode value = value(key);
    if (!value.isTextual() || !IP.matcher(value.textValue()).matches()) {
      fault(key, display(value), "write an IP address such as 127.0.0.1, not a host name");
      return "0.0.0.0";
    }
    return value.textValue();
  }

  /** Returns a required whole number; {@code min} if it is invalid. */
  public long number(String key, long min, long max) {
    JsonNode value = value(key);
    boolean fits = value.isIntegralNumber() && value.canConvertToLong();
    if (!fits || value.longValue() < min || value.longValue() > max) {
      fault(key, display(value), "write a whole number from " + min + " to " + max);
      return min;
    }
    return value.longValue();
  }

  /** Returns an optional whole number. */
  public long number(String key, long min, long max, long defaultValue) {
    return has(key) ? number(key, min, max) : defaultValue;
  }

  /** Returns a required number, which may have a fraction; {@code min} if it is invalid. */
  public double fraction(String key, double min, double max) {
    JsonNode value = value(key);
    if (!value.isNumber() || value.doubleValue() < min || value.doubleValue() > max) {
      fault(key, display(value), "write a number from " + min + " to " + max);
      return min;
    }
    return value.doubleValue();
  }

  /** Returns a required address in the form IP:PORT; {@code 0.0.0.0:0} if it is invalid. */
  public HostAddress address(String key) {
    return address(key, value(key));
  }

  private HostAddress address(String key, JsonNode value) {
    HostAddress address = value.isTextual() ? HostAddress.parse(value.textValue()) : null;
    if (address == null || !IP.matcher(address.ip()).matches()) {
      fault(key, display(value), "write an IP address and a port such as 127.0.0.1:7400");
      return new HostAddress("0.0.0.0", 0);
    }
    return address;
  }

  /** Returns a list of addresses in the form IP:PORT; an absent list is empty. */
  public List<HostAddress> addresses(String key) {
    List<HostAddress> addresses = new ArrayList<>();
    if (has(key)) {
      value(key).forEach(element -> addresses.add(address(key, element)));
    }
    return addresses;
  }

  /** Returns a list of texts that must match a pattern; an absent list is empty. */
  public List<String> texts(String key, String pattern, String remedy) {
    List<String> texts = new ArrayList<>();
    if (has(key)) {
      for (JsonNode element : value(key)) {
        if (!element.asText().matches(pattern)) {
          fault(key, display(element), remedy);
        }
        texts.add(element.asText());
      }
    }
    return texts;
  }

  /** Returns an optional boolean. */
  public boolean flag(String key, boolean defaultValue) {
    if (!has(key)) {
      return defaultValue;
    }
    JsonNode value = value(key);
    if (!value.isBoolean()) {
      fault(key, display(value), "write true or false");
    }
    return value.asBoolean(defaultValue);
  }

  /** Returns a required object. */
  public SettingsNode object(String key) {
    return new SettingsNode(keyPath(key), value(key), faults);
  }

  /** Returns the objects of a list; an absent list is empty. */
  public List<SettingsNode> objects(String key) {
    List<SettingsNode> objects = new ArrayList<>();
    if (!has(key)) {
      return objects;
    }
    JsonNode list = value(key);
    if (!list.isArray()) {
      fault(key, display(list), "write a list in brackets");
      return objects;
    }
    for (int i = 0; i < list.size(); i++) {
      objects.add(new SettingsNode(keyPath(key) + "[" + i + "]", list.get(i), faults));
    }
    return objects;
  }

  /** Adds a fault for each key that was not read. */
  public void reportUnknownKeys() {
    Iterator<String> names = node.fieldNames();
    while (names.hasNext()) {
      String name = names.next();
      if (!knownKeys.contains(name)) {
        fault(name, "(unknown key)", "remove it, or write one of " + sortedKnownKeys());
      }
    }
  }

  private String sortedKnownKeys() {
    return String.join(", ", knownKeys.stream().sorted().toList());
  }

  private static String display(JsonNode value) {
    return value.isMissingNode() ? "(missing)" : value.toString();
  }
}
