// SPDX-License-Identifier: Apache-2.0
/** Threads with one duty each, joined by bounded rings. */
package org.fawndrum.internal.duty;
