// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.once;

/** What a host says of a key to another that wants to run the call. */
public enum ClaimAnswer {
  /** It does not run the call and will not, unless it asks everybody again. */
  FREE,
  /** It runs the call, claims it right now, or does not know whether it ran. */
  HELD,
  /** The call ran. */
  RAN
}
