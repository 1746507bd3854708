// SPDX-License-Identifier: Apache-2.0
/** Sockets and threads around the decisions: Vert.x for HTTP, Netty between daemons. */
package org.fawndrum.transport;
