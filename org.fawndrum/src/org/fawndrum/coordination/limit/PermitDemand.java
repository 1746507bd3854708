// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.limit;

/**
 * A host's demand for permits to send requests to an endpoint. It replaces the host's demand before
 * it for the same endpoint.
 *
 * @param endpoint the name of the endpoint
 * @param id identifies the demand among those of its host; rises
 * @param permits how many permits the host wants; 0 if it wants none any more
 * @param urgent whether requests wait for them; otherwise they could go to other endpoints
 * @param urgency the urgency of the most urgent waiting request, 0 first
 */
public record PermitDemand(String endpoint, long id, int permits, boolean urgent, int urgency) {}
