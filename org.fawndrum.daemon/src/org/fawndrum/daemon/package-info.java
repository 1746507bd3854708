// SPDX-License-Identifier: Apache-2.0
/**
 * Daemon {@code fawndrumd} of an entry host: runs the library with settings and signal handling.
 */
package org.fawndrum.daemon;
