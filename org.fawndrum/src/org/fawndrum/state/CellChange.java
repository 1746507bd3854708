// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * A change of one cell in a publication.
 *
 * @param key the cell
 * @param value the new value; null clears the cell, which resets it to its column's default
 */
public record CellChange(CellKey key, String value) {}
