// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** What was decided about a request. */
public enum DecisionKind {
  /** It was admitted to the queue. */
  ADMITTED,
  /** It waits because no endpoint can take it now. */
  WAITING,
  /** It was sent to an endpoint. */
  PLACED,
  /** It was refused on arrival or given up later. */
  REFUSED,
  /** Its first token arrived. */
  FIRST_TOKEN,
  /** Its whole answer arrived. */
  FINISHED,
  /** One of its attempts failed. */
  ATTEMPT_FAILED
}
