// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.concurrent.CompletableFuture;
import org.fawndrum.state.HostListing;

/** The platform's list of live and leaving hosts, which lags. Safe for all threads. */
public interface HostListSource {
  /**
   * Gives the list as the platform has it now; fails with {@code PlatformUnavailableException} when
   * the platform does not answer.
   */
  CompletableFuture<HostListing> hosts();
}
