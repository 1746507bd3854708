// SPDX-License-Identifier: Apache-2.0
/**
 * Stand-ins for the systems outside fawndrum: the platform, a model engine and a plain service.
 * They are meant for demos and tests. Faults are injected with a control request.
 */
package org.fawndrum.standin;
