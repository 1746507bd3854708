// SPDX-License-Identifier: Apache-2.0
/** Messages and their codecs: the platform's log, the engines, the callers, the operators. */
package org.fawndrum.protocol;
