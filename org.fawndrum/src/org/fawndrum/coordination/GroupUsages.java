// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.HashMap;
import java.util.Map;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Row;
import org.fawndrum.state.TableRevision;

/** Usage of all caller groups against their limits on this host. Confined to one thread. */
final class GroupUsages {
  private final Map<CallerGroup, GroupUsage> usages = new HashMap<>();
  private double limitFraction = 1.0;

  /** Returns the usage of a group. Creates it with the limits of the given row if there is none. */
  GroupUsage getOrCreate(CallerGroup group, Row row, long nowMs) {
    return usages.computeIfAbsent(group, key -> new GroupUsage(row, limitFraction, nowMs));
  }

  /** Returns the usage of the caller group of an admitted request. */
  GroupUsage of(OpenRequest request) {
    return usages.get(request.facts.group());
  }

  /** Sets whether a request waits for an endpoint. */
  void setWaiting(OpenRequest request, boolean isWaiting) {
    request.waiting = isWaiting;
    of(request).waiting += isWaiting ? 1 : -1;
  }

  /** Applies the limits of a newer table. */
  void updateTable(TableRevision newer, long nowMs) {
    usages.forEach(
        (group, usage) -> usage.update(newer.row(group).orElse(usage.row()), limitFraction, nowMs));
  }

  /** Applies this host's fraction of the limits, above 0 and at most 1. */
  void updateLimitFraction(double newFraction, long nowMs) {
    limitFraction = newFraction;
    usages.values().forEach(usage -> usage.update(usage.row(), newFraction, nowMs));
  }
}
