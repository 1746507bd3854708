// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

/** The key of an operator, and whether the operator may publish and drain. Not printed. */
public record OperatorKey(String key, String operator, boolean mayChange) {
  @Override
  public String toString() {
    return "OperatorKey[" + operator + "]";
  }
}
