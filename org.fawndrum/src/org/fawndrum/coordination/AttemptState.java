// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** State of an attempt. */
public enum AttemptState {
  /** Nothing can have left this host. */
  WAITING,
  /** Bytes may have left this host. */
  SENT,
  /** The endpoint is known to run the request. */
  RUNNING,
  /** The whole answer arrived. */
  DONE,
  /** The request did not run: nothing was sent, or the endpoint reported it. */
  NOT_RUN,
  /** The request ran and failed. */
  FAILED,
  /** The request was sent and its outcome is unknown. */
  UNKNOWN;

  /** Whether the state is final. */
  public boolean ended() {
    return this == DONE || this == NOT_RUN || this == FAILED || this == UNKNOWN;
  }

  /** Returns what the state proves about whether the request ran. */
  public Ran ran() {
    return switch (this) {
      case WAITING, NOT_RUN -> Ran.NO;
      case RUNNING, DONE, FAILED -> Ran.YES;
      default -> Ran.UNKNOWN;
    };
  }
}
