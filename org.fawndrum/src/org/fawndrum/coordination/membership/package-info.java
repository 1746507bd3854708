// SPDX-License-Identifier: Apache-2.0
/** Who is alive: heartbeats within an availability zone, sums between zones, catching up. */
package org.fawndrum.coordination.membership;
