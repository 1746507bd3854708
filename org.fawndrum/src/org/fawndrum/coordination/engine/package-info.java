// SPDX-License-Identifier: Apache-2.0
/**
 * A model of what engines have to do: every daemon keeps it from its own sends and from what the
 * others tell, so that all place by the same picture. Pure: time comes in with each event.
 */
package org.fawndrum.coordination.engine;
