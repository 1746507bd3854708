// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import org.fawndrum.state.EndpointKind;

/**
 * What a request asks for.
 *
 * @param kind a model or a plain service
 * @param name the model's or the service's name
 */
public record RequestTarget(EndpointKind kind, String name) {}
