// SPDX-License-Identifier: Apache-2.0
/** Log messages with stable ids. */
package org.fawndrum.internal.log;
