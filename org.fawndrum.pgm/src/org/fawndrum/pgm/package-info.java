// SPDX-License-Identifier: Apache-2.0
/** fawndrum, the operators' command line: one class for each command. */
package org.fawndrum.pgm;
