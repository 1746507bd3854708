// SPDX-License-Identifier: Apache-2.0
/** Library of fawndrum, a serving layer for prompts of widely varying lengths. */
package org.fawndrum;
