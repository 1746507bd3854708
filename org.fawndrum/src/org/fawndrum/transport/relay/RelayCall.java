// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.fawndrum.coordination.crash.RequestContent;
import org.fawndrum.state.Route;
import org.fawndrum.state.Workspace;

/**
 * A complete request of an identified caller.
 *
 * @param request the content of its headers
 * @param route the matching route
 * @param workspace the caller's workspace
 * @param method its method
 * @param uri path and query, as received
 * @param headers its headers, as received
 * @param body its body
 * @param held what this host holds for the request
 * @param content the parts of the request that identify it for comparison with other requests
 */
record RelayCall(
    RelayRequest request,
    Route route,
    Workspace workspace,
    HttpMethod method,
    String uri,
    MultiMap headers,
    Buffer body,
    HeldRequest held,
    RequestContent content) {}
