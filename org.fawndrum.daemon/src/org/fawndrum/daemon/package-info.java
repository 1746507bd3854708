// SPDX-License-Identifier: Apache-2.0
/** fawndrumd, the daemon of an entry host: the library's runtime with settings and signals. */
package org.fawndrum.daemon;
