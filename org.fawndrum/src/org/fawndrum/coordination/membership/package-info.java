// SPDX-License-Identifier: Apache-2.0
/**
 * Who is alive: heartbeats within an availability zone, sums between zones, catching up; and, for
 * daemons on the platform, through which speakers their reports reach all others.
 */
package org.fawndrum.coordination.membership;
