// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** What was decided about a request. */
public enum DecisionKind {
  /** It may run and waits for its turn. */
  ADMITTED,
  /** It waits because no endpoint may take it now. */
  WAITING,
  /** It was sent to an endpoint. */
  PLACED,
  /** It was given up on or never admitted. */
  REFUSED,
  /** Its first token arrived. */
  FIRST_TOKEN,
  /** Its whole answer arrived. */
  FINISHED,
  /** An attempt failed. */
  ATTEMPT_FAILED
}
