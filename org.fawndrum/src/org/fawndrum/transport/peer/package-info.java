// SPDX-License-Identifier: Apache-2.0
/** Framed protobuf messages between daemons over TCP with Netty, with TLS if configured. */
package org.fawndrum.transport.peer;
