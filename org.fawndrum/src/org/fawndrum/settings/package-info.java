// SPDX-License-Identifier: Apache-2.0
/** A daemon's settings: JSON with comments, checked wholly before anything starts. */
package org.fawndrum.settings;
