// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.fawndrum.state.HostAddress;

/**
 * Selects some of the silent daemons to be contacted: all of them in turn, because of many that are
 * silent perhaps only one can be reached. Confined to one thread.
 */
public final class SilentContacts {
  private static final Comparator<HostAddress> ORDER = Comparator.comparing(HostAddress::toString);

  private final int atATime;
  private HostAddress last;

  /**
   * Creates a selection.
   *
   * @param atATime how many are selected at a time
   */
  public SilentContacts(int atATime) {
    this.atATime = atATime;
  }

  /** Returns the addresses that are next in turn, of those that are silent now. */
  public List<HostAddress> next(Collection<HostAddress> silent) {
    List<HostAddress> sorted = new ArrayList<>(silent);
    sorted.sort(ORDER);
    List<HostAddress> inTurn = new ArrayList<>();
    sorted.stream().filter(this::isAfterLast).forEach(inTurn::add);
    sorted.stream().filter(address -> !isAfterLast(address)).forEach(inTurn::add);
    List<HostAddress> selected = inTurn.subList(0, Math.min(atATime, inTurn.size()));
    if (!selected.isEmpty()) {
      last = selected.get(selected.size() - 1);
    }
    return selected;
  }

  private boolean isAfterLast(HostAddress address) {
    return last == null || ORDER.compare(address, last) > 0;
  }
}
