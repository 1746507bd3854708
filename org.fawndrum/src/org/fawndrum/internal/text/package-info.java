// SPDX-License-Identifier: Apache-2.0
/** Exception messages in a resource bundle, with an enum of their keys. */
package org.fawndrum.internal.text;
