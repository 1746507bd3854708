// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * An endpoint that was considered and not chosen.
 *
 * @param endpoint its name
 * @param expectedMs the expected time to the first token there, in milliseconds from the decision
 */
public record PassedOverEndpoint(String endpoint, long expectedMs) {}
