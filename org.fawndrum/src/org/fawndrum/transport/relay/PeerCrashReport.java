// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.coordination.crash.CrashUpdate;
import org.fawndrum.state.HostAddress;

/**
 * Crashes of endpoints, as reported by another daemon.
 *
 * @param daemon the address of the daemon
 * @param crashes the reported crashes
 * @param complete whether these are all crashes that the daemon knows
 * @param summary a hash of all crashes that the daemon knows
 */
record PeerCrashReport(HostAddress daemon, CrashUpdate crashes, boolean complete, long summary) {}
