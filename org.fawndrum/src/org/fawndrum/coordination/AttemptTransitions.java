// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * The state transitions of an attempt. {@link AttemptState#NOT_RUN} is reached only if nothing was
 * sent or the endpoint reported that it did not run the request.
 */
public final class AttemptTransitions {
  private AttemptTransitions() {}

  /**
   * Returns the state after an event. A final state does not change on late events, except that a
   * late answer to an attempt of unknown outcome proves that it ran.
   */
  public static AttemptState next(AttemptState state, AttemptEvent event) {
    if (state == AttemptState.UNKNOWN) {
      return afterUnknown(event);
    }
    if (state.ended()) {
      return state;
    }
    return switch (event) {
      case SENDING -> state == AttemptState.WAITING ? AttemptState.SENT : state;
      case CONNECT_FAILED, NO_PATH, ENDPOINT_BACKOFF, ENDPOINT_LIMITED, ZONE_DRAINED ->
          state == AttemptState.RUNNING ? AttemptState.FAILED : AttemptState.NOT_RUN;
      case REFUSED_BY_ENDPOINT ->
          state == AttemptState.RUNNING ? AttemptState.FAILED : AttemptState.NOT_RUN;
      case ANSWERING -> AttemptState.RUNNING;
      case ALIVE -> state;
      case ANSWERED -> AttemptState.DONE;
      case FAILED_BY_ENDPOINT -> AttemptState.FAILED;
      case STALLED, LOST, PATH_LOST, STRAY_ANSWER -> afterLoss(state);
    };
  }

  private static AttemptState afterUnknown(AttemptEvent event) {
    return switch (event) {
      case ANSWERING, ANSWERED, FAILED_BY_ENDPOINT -> AttemptState.FAILED;
      default -> AttemptState.UNKNOWN;
    };
  }

  private static AttemptState afterLoss(AttemptState state) {
    return switch (state) {
      case WAITING -> AttemptState.NOT_RUN;
      case SENT -> AttemptState.UNKNOWN;
      default -> AttemptState.FAILED;
    };
  }
}
