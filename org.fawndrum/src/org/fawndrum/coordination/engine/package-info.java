// SPDX-License-Identifier: Apache-2.0
/**
 * A model of the load of engines, which every daemon keeps from its own sends and from the updates
 * of the others, so that all place requests by the same forecasts. Has no I/O and reads no clock:
 * times are parameters.
 */
package org.fawndrum.coordination.engine;
