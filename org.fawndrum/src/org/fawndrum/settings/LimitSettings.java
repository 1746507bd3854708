// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

/**
 * Limits of one daemon, whatever the table says.
 *
 * @param bodyBytes the largest body of a caller
 * @param headerBytes the largest headers of a caller
 * @param promptTokens the longest prompt
 * @param incompleteMs how long half a request may be silent, in milliseconds
 * @param endpointSilenceMs how long an endpoint may be silent during an answer, in milliseconds
 * @param ringEvents the capacity of the decisions' ring, a power of two
 */
public record LimitSettings(
    long bodyBytes,
    int headerBytes,
    long promptTokens,
    long incompleteMs,
    long endpointSilenceMs,
    int ringEvents) {}
