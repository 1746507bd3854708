// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

import org.fawndrum.state.CallerGroup;

/** The key of a caller group. Not printed. */
public record CallerKey(String key, CallerGroup group) {
  @Override
  public String toString() {
    return "CallerKey[" + group + "]";
  }
}
