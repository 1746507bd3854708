// SPDX-License-Identifier: Apache-2.0
/**
 * Requests of hosts that have lost their links to endpoints, sent through another host that reaches
 * them: one connection a request, framed protobuf messages, one hop.
 */
package org.fawndrum.transport.proxy;
