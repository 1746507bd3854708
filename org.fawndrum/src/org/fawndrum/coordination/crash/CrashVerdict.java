// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

/** Whether a request may be sent. */
public enum CrashVerdict {
  /** It may be sent. */
  ALLOWED,
  /** It must wait until the reports of other hosts have had time to arrive. */
  DELAYED,
  /** It is rejected, because endpoints crash under it. */
  REJECTED
}
