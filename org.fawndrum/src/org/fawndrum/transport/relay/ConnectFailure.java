// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/** How a connection to an endpoint could not be opened. */
enum ConnectFailure {
  /** The address refused it. */
  REFUSED,
  /** Nothing answered within the connect timeout. */
  TIMED_OUT,
  /** Any other failure, such as a reset, a missing route or the lack of descriptors. */
  OTHER;

  /** Returns the kind of a failure to connect. */
  static ConnectFailure of(Throwable cause) {
    if (cause instanceof ConnectTimeoutException) {
      return TIMED_OUT;
    }
    return cause instanceof ConnectException ? REFUSED : OTHER;
  }
}
