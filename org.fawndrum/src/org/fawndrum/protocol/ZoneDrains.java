// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.Set;
import org.fawndrum.protocol.wire.ZoneDrainsRecord;

/**
 * The drained zones up to a position of the operators' log. Immutable.
 *
 * @param zones the names of the drained availability zones
 * @param position the position up to which the log's records are included
 */
public record ZoneDrains(Set<String> zones, StorePosition position) {
  /** What a host knows before it has read or been told anything. */
  public static final ZoneDrains NONE = new ZoneDrains(Set.of(), StorePosition.NONE);

  /** Copies the set to keep the record immutable. */
  public ZoneDrains {
    zones = Set.copyOf(zones);
  }

  /** Whether this state comes after another one. */
  public boolean isAfter(ZoneDrains other) {
    return position.isAfter(other.position);
  }

  /** Encodes a known state. */
  public ZoneDrainsRecord write() {
    return ZoneDrainsRecord.newBuilder()
        .addAllZones(zones)
        .setEra(position.epoch())
        .setEnd(position.offset())
        .build();
  }

  /** Decodes a state. */
  public static ZoneDrains read(ZoneDrainsRecord message) {
    return new ZoneDrains(
        Set.copyOf(message.getZonesList()), new StorePosition(message.getEra(), message.getEnd()));
  }
}
