// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import org.fawndrum.platform.standin.StandinSite;
import org.fawndrum.platform.standin.StoreStandin;

/** The operators' configuration of a site. Confined to one event loop. */
final class SoakConfiguration {
  /** Memory of an engine, in tokens: small, so that long prompts need helper engines. */
  private static final String MEMORY = "\"KvCapacity\":100000";

  private static final String DEFAULT_MEMORY = "\"KvCapacity\":232000";
  private static final String CONNECTIONS = "\"MaxConnections\":264";

  private static final String OPERATORS = "keyed.op";
  private static final int MS_PER_SECOND = 1_000;

  private final StoreStandin store;
  private final String starts;
  private boolean revoked;
  private long version;

  /**
   * Creates a configuration that is not published.
   *
   * @param startMs how long an engine that warms up accepts a rate only, in milliseconds
   * @param startPerSecond that rate, in requests a second
   */
  SoakConfiguration(StoreStandin store, int startMs, double startPerSecond) {
    this.store = store;
    this.starts =
        "\"ColdStartS\":" + startMs / MS_PER_SECOND + ",\"ColdPerS\":" + startPerSecond + ",";
  }

  /** Publishes a newer version to the store. */
  void publish() {
    version += 2;
    String[] keys =
        revoked ? new String[] {SoakSite.KEY} : new String[] {SoakSite.KEY, SoakSite.REVOCABLE_KEY};
    String configuration = StandinSite.configuration(version, keys);
    store.put(
        OPERATORS,
        "config",
        configuration.replace(DEFAULT_MEMORY, MEMORY).replace(CONNECTIONS, starts + CONNECTIONS));
  }

  /** Publishes a version without the revocable key. */
  void revokeKey() {
    revoked = true;
    publish();
  }
}
