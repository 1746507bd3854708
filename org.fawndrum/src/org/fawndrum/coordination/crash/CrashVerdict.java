// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

/** Whether a request may be sent. */
public enum CrashVerdict {
  /** It may be sent. */
  FREE,
  /** It must wait for the reports of other hosts, for at most the time that these take. */
  HELD,
  /** It is rejected, because endpoints crash under it. */
  REFUSED
}
