// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

/** An update from one daemon to the others about its jobs at endpoints. */
public sealed interface EngineUpdate {
  /** A job was sent. */
  record Placed(EngineJob job) implements EngineUpdate {}

  /** The prefill of a prompt completed: its first token came. */
  record Prefilled(long id) implements EngineUpdate {}

  /**
   * A job completed or failed.
   *
   * @param failed whether the endpoint seems to be the cause
   */
  record Completed(long id, boolean failed) implements EngineUpdate {}
}
