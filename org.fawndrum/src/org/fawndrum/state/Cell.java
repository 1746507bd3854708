// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * A published value and where it came from.
 *
 * @param value the value; null when the cell was cleared, so that the clearing keeps its offset
 * @param offset the log offset of the publication that set it
 * @param operator who published it
 */
public record Cell(String value, long offset, String operator) {}
