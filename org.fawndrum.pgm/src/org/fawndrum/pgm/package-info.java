// SPDX-License-Identifier: Apache-2.0
/** The operators' command line, {@code fawndrum}: one class per command. */
package org.fawndrum.pgm;
