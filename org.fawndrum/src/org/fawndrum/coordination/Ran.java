// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Locale;

/** Whether a request ran, as far as can be proved. */
public enum Ran {
  /** It did not run. */
  NO,
  /** It may have run. */
  UNKNOWN,
  /** It ran, at least in part. */
  YES;

  /** Returns the value used on the wire. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
