// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

/** What one daemon tells the others about its work at endpoints. */
public sealed interface EngineNews {
  /** Work was sent. */
  record Placed(EngineJob job) implements EngineNews {}

  /** A prompt has been read: its first token came. */
  record Read(long id) implements EngineNews {}

  /**
   * Work ended.
   *
   * @param failed whether the endpoint seems to be the cause
   */
  record Ended(long id, boolean failed) implements EngineNews {}
}
