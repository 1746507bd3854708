// SPDX-License-Identifier: Apache-2.0
/** One exception class for each failure; each builds its message from typed data. */
package org.fawndrum.errors;
