// SPDX-License-Identifier: Apache-2.0
/**
 * Passes callers' requests on to endpoints as they are, and answers back as they come. What the
 * messages look like is a {@link org.fawndrum.transport.relay.RelayCodec}'s matter.
 */
package org.fawndrum.transport.relay;
