// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.concurrent.CompletableFuture;
import org.fawndrum.state.HostListing;

/** Source of the platform's host list, which lags behind the actual state. Thread-safe. */
public interface HostListSource {
  /**
   * Returns the current host list of the platform; fails with {@code PlatformUnavailableException}
   * if the platform does not answer.
   */
  CompletableFuture<HostListing> hosts();
}
