// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

/**
 * Limits of one daemon, which apply regardless of the table.
 *
 * @param bodyBytes maximum size of a request's body, in bytes
 * @param headerBytes maximum size of a request's headers, in bytes
 * @param promptTokens maximum length of a prompt, in tokens
 * @param incompleteMs timeout for more data of an incomplete request, in milliseconds
 * @param endpointSilenceMs timeout for more data of an endpoint's answer, in milliseconds
 * @param ringEvents capacity of the decision thread's ring buffer, in events; a power of two
 */
public record LimitSettings(
    long bodyBytes,
    int headerBytes,
    long promptTokens,
    long incompleteMs,
    long endpointSilenceMs,
    int ringEvents) {}
