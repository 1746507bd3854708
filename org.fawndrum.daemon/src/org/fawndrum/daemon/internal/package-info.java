// SPDX-License-Identifier: Apache-2.0
/** Service providers that libraries of the daemon load; not for use by other modules. */
package org.fawndrum.daemon.internal;
