// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** Where an attempt stands. */
public enum AttemptState {
  /** Nothing can have left this host. */
  WAITING,
  /** Bytes may have left this host. */
  SENT,
  /** The endpoint has shown that it runs the request. */
  RUNNING,
  /** The whole answer arrived. */
  DONE,
  /** It surely did not run: nothing was sent, or the endpoint said so. */
  NOT_RUN,
  /** It ran and failed. */
  FAILED,
  /** It was sent and nothing is known of it. */
  UNKNOWN;

  /** Tells whether nothing more can happen to the attempt. */
  public boolean ended() {
    return this == DONE || this == NOT_RUN || this == FAILED || this == UNKNOWN;
  }

  /** Returns what the state proves about running. */
  public Ran ran() {
    return switch (this) {
      case WAITING, NOT_RUN -> Ran.NO;
      case RUNNING, DONE, FAILED -> Ran.YES;
      default -> Ran.UNKNOWN;
    };
  }
}
