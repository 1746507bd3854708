// SPDX-License-Identifier: Apache-2.0
/**
 * Calls that may not be repeated run at most once, over hosts, restarts and cuts, without a store:
 * a host runs such a call only when it is surely the first sending, or when every other host that
 * could have run it says that it did not and will not.
 */
package org.fawndrum.coordination.once;
