// SPDX-License-Identifier: Apache-2.0
/** Immutable data of the system and the rules by which the platform's log is replayed into it. */
package org.fawndrum.state;
