// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

/**
 * API key of an operator, and whether the operator may publish and drain. {@link #toString} omits
 * the key.
 */
public record OperatorKey(String key, String operator, boolean mayChange) {
  @Override
  public String toString() {
    return "OperatorKey[" + operator + "]";
  }
}
