// SPDX-License-Identifier: Apache-2.0
/**
 * Small stand-ins for what lies outside the system: the platform, a model engine and a plain
 * service. They are for trying things and for tests; their faults are set by a control call.
 */
package org.fawndrum.standin;
