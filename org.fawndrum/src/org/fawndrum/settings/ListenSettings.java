// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

import java.util.Optional;
import org.fawndrum.state.HostAddress;

/**
 * Where a daemon listens for one kind of caller.
 *
 * @param address the IP number and port
 * @param tls the certificate to show, if connections are to be encrypted
 */
public record ListenSettings(HostAddress address, Optional<TlsSettings> tls) {}
