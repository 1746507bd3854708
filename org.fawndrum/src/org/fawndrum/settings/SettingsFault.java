// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

/**
 * An error in a settings file.
 *
 * @param key path of the key, such as {@code callers.port}
 * @param value the invalid value, abbreviated; secrets are omitted
 * @param remedy how to correct it
 */
public record SettingsFault(String key, String value, String remedy) {
  @Override
  public String toString() {
    return key + " = " + value + ": " + remedy;
  }
}
