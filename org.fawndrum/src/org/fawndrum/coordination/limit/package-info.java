// SPDX-License-Identifier: Apache-2.0
/**
 * Rates that endpoints accept from all hosts together: what endpoints stated, the permits under
 * which hosts send to them, and the issuing of these permits. Has no I/O and reads no clock.
 */
package org.fawndrum.coordination.limit;
