// SPDX-License-Identifier: Apache-2.0
/** JSON without data binding, which costs a process that starts more than all else that it does. */
package org.fawndrum.internal.json;
