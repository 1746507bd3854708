// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Numbered names of workspaces and classes shared few hash values, next to each other, so that a
 * host stood still for seconds while it made the table of a configuration.
 */
class CallerGroupTest {
  private static final int WORKSPACES = 10;
  private static final int CLASSES = 2_910;

  /** The most entries that an immutable map may search for one key. */
  private static final int MAX_SEARCH = 200;

  private static List<CallerGroup> groups(String workspace, String className) {
    List<CallerGroup> groups = new ArrayList<>();
    for (int w = 1; w <= WORKSPACES; w++) {
      for (int c = 1; c <= CLASSES; c++) {
        groups.add(
            new CallerGroup(
                String.format(Locale.ROOT, workspace, w),
                String.format(Locale.ROOT, className, c)));
      }
    }
    return groups;
  }

  /** Returns how many entries a map that searches linearly compares at the most. */
  private static int longestSearch(List<CallerGroup> groups) {
    boolean[] taken = new boolean[2 * groups.size()];
    int longest = 0;
    for (CallerGroup group : groups) {
      int at = Math.floorMod(group.hashCode(), taken.length);
      int compared = 1;
      while (taken[at]) {
        at = (at + 1) % taken.length;
        compared++;
      }
      taken[at] = true;
      longest = Math.max(longest, compared);
    }
    return longest;
  }

  @ParameterizedTest
  @ValueSource(strings = {"tenant-%02d", "%d", "desk%d", "a-%08x"})
  void pairsOfNumberedNamesHaveHashValuesOfTheirOwn(String workspace) {
    for (String className : List.of("route-%04d", "%d", "r%x")) {
      List<CallerGroup> groups = groups(workspace, className);
      long values = groups.stream().mapToInt(CallerGroup::hashCode).distinct().count();
      assertTrue(values > groups.size() * 0.99, () -> workspace + className + ": " + values);
      int search = longestSearch(groups);
      assertTrue(search <= MAX_SEARCH, () -> workspace + className + ": " + search);
    }
  }

  @Test
  void equalGroupsHaveEqualHashValues() {
    CallerGroup group = new CallerGroup("desk", "look");
    assertTrue(group.hashCode() == new CallerGroup("desk", "look").hashCode());
  }
}
