// SPDX-License-Identifier: Apache-2.0
/** Netty between daemons: framed protobuf messages over TCP, encrypted where settings say so. */
package org.fawndrum.transport.peer;
