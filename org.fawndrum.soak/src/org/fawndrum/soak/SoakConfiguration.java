// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Vertx;
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

  /** The pause between two configurations of a series, in milliseconds. */
  private static final long SERIES_GAP_MS = 300;

  private final Vertx vertx;
  private final StoreStandin store;
  private final ConfigurationChecker checker;
  private final String starts;
  private boolean revoked;
  private int openSeries;
  private long version;

  /**
   * Creates a configuration that is not published.
   *
   * @param startMs how long an engine that warms up accepts a rate only, in milliseconds
   * @param startPerSecond that rate, in requests a second
   */
  SoakConfiguration(
      Vertx vertx,
      StoreStandin store,
      ConfigurationChecker checker,
      int startMs,
      double startPerSecond) {
    this.vertx = vertx;
    this.store = store;
    this.checker = checker;
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
    checker.recordWritten(version, Soak.nowMs());
  }

  /** Begins or ends a series of configurations; several may overlap. */
  void publishOften(boolean begins) {
    openSeries += begins ? 1 : -1;
    if (begins && openSeries == 1) {
      publishNext();
    }
  }

  private void publishNext() {
    if (openSeries > 0) {
      publish();
      vertx.setTimer(SERIES_GAP_MS, timer -> publishNext());
    }
  }

  /** Publishes a version without the revocable key. */
  void revokeKey() {
    revoked = true;
    publish();
  }
}
