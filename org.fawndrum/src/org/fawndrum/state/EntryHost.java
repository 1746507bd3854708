// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * A host that runs a daemon, as the platform's host list describes it.
 *
 * @param name the host's name
 * @param zone its availability zone
 * @param peerAddress listen address of its daemon for peers
 */
public record EntryHost(String name, String zone, HostAddress peerAddress) {}
