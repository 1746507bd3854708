// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.text;

import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Every {@link MessageText} has an entry in the resource bundle. */
class MessageTextTest {
  @ParameterizedTest
  @EnumSource(MessageText.class)
  void hasAText(MessageText text) {
    assertFalse(text.format("a", "b", "c", "d").isBlank());
  }
}
