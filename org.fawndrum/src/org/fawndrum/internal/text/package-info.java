// SPDX-License-Identifier: Apache-2.0
/** The texts that people read, kept in one bundle behind typed constants. */
package org.fawndrum.internal.text;
