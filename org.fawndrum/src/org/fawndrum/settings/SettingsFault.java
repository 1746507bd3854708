// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

/**
 * One thing wrong with a settings file.
 *
 * @param key the key's path, such as {@code callers.port}
 * @param value what stands there, in short; secrets are not shown
 * @param remedy what to write instead
 */
public record SettingsFault(String key, String value, String remedy) {
  @Override
  public String toString() {
    return key + " = " + value + ": " + remedy;
  }
}
