// SPDX-License-Identifier: Apache-2.0
/** Servers, clients and threads of an entry host: Vert.x for HTTP, Netty between daemons. */
package org.fawndrum.transport;
