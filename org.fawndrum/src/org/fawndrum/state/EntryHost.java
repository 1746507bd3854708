// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * An entry host as the platform's list describes it.
 *
 * @param name the host's name
 * @param zone its availability zone
 * @param peerAddress where its daemon listens for peers
 */
public record EntryHost(String name, String zone, HostAddress peerAddress) {}
