// SPDX-License-Identifier: Apache-2.0
/**
 * Membership: heartbeats within an availability zone and between zones, and catching up with newer
 * peers; and, for daemons on the platform, the overlay of zone leaders that distributes their
 * reports.
 */
package org.fawndrum.coordination.membership;
