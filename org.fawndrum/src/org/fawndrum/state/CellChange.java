// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * One cell as a publication wants it.
 *
 * @param key the cell
 * @param value the new value; null clears the cell back to its column's default
 */
public record CellChange(CellKey key, String value) {}
