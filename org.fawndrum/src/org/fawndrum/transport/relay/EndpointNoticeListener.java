// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.state.HostIdentity;

/** Receives the notices in endpoints' responses. Called on event loops; must not block. */
@FunctionalInterface
public interface EndpointNoticeListener {
  /**
   * Called when a response of an endpoint incarnation contained a notice; not called for {@code
   * NONE}.
   */
  void noticeReceived(HostIdentity endpoint, EndpointNotice notice);
}
