// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** The reason of a decision. */
public enum Reason {
  /** The request is within every limit of its row. */
  WITHIN_LIMITS,
  /** A limit of the row decided; the record names the cell. */
  LIMIT,
  /** The endpoint has the earliest expected first token. */
  EARLIEST_FIRST_TOKEN,
  /** Several engines prefill the prompt together: one alone would be late or could not hold it. */
  SEVERAL_ENGINES,
  /** The endpoint is the next in rotation. */
  NEXT_IN_TURN,
  /** The endpoint has the fewest requests in flight. */
  LEAST_IN_FLIGHT,
  /** The endpoint has the beginning of the prompt in its cache. */
  CACHED_PREFIX,
  /** No endpoint can take more work now. */
  ENDPOINTS_BUSY,
  /** The endpoints that could take the request accept a number of requests a second only. */
  ENDPOINTS_LIMITED,
  /** The zones of the endpoints, or of one that was chosen, are drained. */
  ZONES_DRAINED,
  /** Another endpoint was chosen after a failure. */
  ENDPOINT_FAILED,
  /** This host's link to the endpoint, or the host that proxied the request, was lost. */
  NO_PATH,
  /** The endpoint answered another request once more, in the place of this one's answer. */
  STRAY_ANSWER,
  /** The endpoint restarted and lost the attempt. */
  ENDPOINT_RESTARTED,
  /** The deadline has passed or would pass before completion. */
  DEADLINE,
  /** No endpoint serves the target. */
  NO_ENDPOINT,
  /** The caller closed its connection. */
  CALLER_GONE,
  /** The caller left its answer unread, or the host had to free what it held for it. */
  CALLER_TOO_SLOW,
  /** The endpoint did not read the request while the host held all that it may. */
  ENDPOINT_TOO_SLOW,
  /** The host holds all that it may for callers and endpoints. */
  HOST_MEMORY_FULL,
  /** The retry budget is exhausted. */
  RETRY_BUDGET,
  /** Endpoints crash while running the request, whichever host sends it. */
  ENDS_ENDPOINTS,
  /** The request must not be sent again. */
  NOT_REPEATABLE,
  /** The host is shutting down. */
  DRAINING,
  /** The answer is complete. */
  COMPLETE
}
