// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * An endpoint that was weighed and not chosen.
 *
 * @param endpoint its name
 * @param expectedMs when it was expected to give the first token, in milliseconds from now
 */
public record PassedOver(String endpoint, long expectedMs) {}
