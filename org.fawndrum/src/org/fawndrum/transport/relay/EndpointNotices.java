// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.state.HostIdentity;

/** Hears what endpoints say about themselves in answers. Called on event loops; never blocks. */
@FunctionalInterface
public interface EndpointNotices {
  /** An answer of a start of an endpoint said something about it; {@code NONE} is not told. */
  void heard(HostIdentity endpoint, EndpointNotice notice);
}
