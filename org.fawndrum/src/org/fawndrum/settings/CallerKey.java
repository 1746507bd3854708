// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

import org.fawndrum.state.CallerGroup;

/** API key of a caller group. {@link #toString} omits the key. */
public record CallerKey(String key, CallerGroup group) {
  @Override
  public String toString() {
    return "CallerKey[" + group + "]";
  }
}
