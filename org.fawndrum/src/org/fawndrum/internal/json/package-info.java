// SPDX-License-Identifier: Apache-2.0
/** JSON without data binding, whose first use takes a tenth of the processor time of a start. */
package org.fawndrum.internal.json;
