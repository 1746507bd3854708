// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.once;

/** The answer of a host to another that asks whether it may run the call with a key. */
public enum ClaimAnswer {
  /** It does not run the call and will not, unless it asks all other hosts again. */
  FREE,
  /** It runs the call, is claiming it now, or does not know whether it ran. */
  HELD,
  /** The call ran. */
  RAN
}
