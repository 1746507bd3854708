// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import org.fawndrum.state.EndpointKind;

/**
 * What a request is addressed to.
 *
 * @param kind a model or a plain service
 * @param name the name of the model or service
 */
public record RequestTarget(EndpointKind kind, String name) {}
