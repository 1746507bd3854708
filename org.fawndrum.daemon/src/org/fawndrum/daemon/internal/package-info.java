// SPDX-License-Identifier: Apache-2.0
/** What the daemon's libraries look for by themselves; not for other modules. */
package org.fawndrum.daemon.internal;
