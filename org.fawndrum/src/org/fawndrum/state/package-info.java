// SPDX-License-Identifier: Apache-2.0
/** Immutable data model, and the replay of the platform's log into the table. */
package org.fawndrum.state;
