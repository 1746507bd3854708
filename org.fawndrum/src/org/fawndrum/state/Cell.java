// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * A published cell value and the publication that set it.
 *
 * @param value the value; null if the cell was cleared; its offset is then that of the clearing
 * @param offset the log offset of the publication that set it
 * @param operator the operator who published it
 */
public record Cell(String value, long offset, String operator) {}
