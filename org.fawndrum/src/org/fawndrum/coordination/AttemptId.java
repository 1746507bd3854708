// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import org.fawndrum.state.HostIdentity;

/**
 * Identifies one attempt to send a request to an endpoint.
 *
 * @param owner the daemon incarnation that sends
 * @param requestId the request
 * @param number the number of the attempt within the request, from 1
 */
public record AttemptId(HostIdentity owner, String requestId, int number) {
  // Explicit, because the generated ones build their code at run time, at each start of a daemon.
  @Override
  public boolean equals(Object object) {
    return object instanceof AttemptId other
        && number == other.number
        && owner.equals(other.owner)
        && requestId.equals(other.requestId);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * owner.hashCode() + requestId.hashCode()) + number;
  }

  @Override
  public String toString() {
    return owner + "/" + requestId + "/" + number;
  }
}
