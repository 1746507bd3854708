// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

import java.util.Optional;
import org.fawndrum.state.HostAddress;

/**
 * Listen address of a daemon for one kind of client.
 *
 * @param address the IP address and port
 * @param tls the certificate to present; empty for unencrypted connections
 */
public record ListenSettings(HostAddress address, Optional<TlsSettings> tls) {}
