// SPDX-License-Identifier: Apache-2.0
/** The library of fawndrum: a serving layer for prompts of very unlike lengths. */
package org.fawndrum;
