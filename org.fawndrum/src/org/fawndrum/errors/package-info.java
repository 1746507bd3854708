// SPDX-License-Identifier: Apache-2.0
/** Exceptions, one class per kind of failure; each builds its message from typed data. */
package org.fawndrum.errors;
