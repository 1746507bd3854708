// SPDX-License-Identifier: Apache-2.0
/**
 * Reproducible benchmarks: simulations of the real decision code with the engine stand-in's step
 * model on a virtual clock, and measurements of the cost per unit that the capacity page uses.
 */
package org.fawndrum.bench;
