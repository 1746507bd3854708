// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Locale;

/** Whether a request ran, as far as the answer can prove it. */
public enum Ran {
  /** It surely did not run. */
  NO,
  /** It may have run. */
  UNKNOWN,
  /** It ran, wholly or in part. */
  YES;

  /** Returns the word that callers read. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
