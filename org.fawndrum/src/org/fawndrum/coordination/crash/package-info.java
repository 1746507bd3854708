// SPDX-License-Identifier: Apache-2.0
/**
 * Detection of requests that crash endpoints: the evidence that hosts share, and the decisions
 * based on it. Has no I/O and reads no clock.
 */
package org.fawndrum.coordination.crash;
