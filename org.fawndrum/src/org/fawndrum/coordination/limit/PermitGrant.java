// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.limit;

/**
 * Permits granted to a host, and when it may expect more. Each is for one request.
 *
 * @param endpoint the name of the endpoint
 * @param demandId the demand that it answers
 * @param permits the number of permits; 0 if none can be granted yet
 * @param sinceDemandMs the time from the arrival of the demand to the grant, in milliseconds
 * @param firstMs the time until the host's next permit, in milliseconds; {@link #NOT_ISSUED} if the
 *     answering host issues none
 * @param gapMs the time between its permits after that, in milliseconds
 */
public record PermitGrant(
    String endpoint, long demandId, int permits, long sinceDemandMs, long firstMs, long gapMs) {
  /** The answering host does not issue permits for the endpoint. */
  public static final long NOT_ISSUED = -1;

  /** Returns the answer of a host that does not issue permits for the endpoint. */
  public static PermitGrant notIssued(PermitDemand demand) {
    return new PermitGrant(demand.endpoint(), demand.id(), 0, 0, NOT_ISSUED, 0);
  }

  /** Whether the answering host issues permits for the endpoint. */
  public boolean isIssued() {
    return firstMs != NOT_ISSUED;
  }
}
