// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.peer;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.File;
import java.util.Optional;
import javax.net.ssl.SSLException;
import org.fawndrum.errors.BadSettingsException;
import org.fawndrum.settings.SettingsFault;
import org.fawndrum.settings.TlsSettings;

/**
 * Mutual TLS between daemons. Both sides present certificates of the same trusted authority. Host
 * names are not verified, because peers are addressed by IP and may be replaced at any time.
 */
record PeerTls(Optional<SslContext> server, Optional<SslContext> client) {
  static PeerTls of(Optional<TlsSettings> settings) {
    if (settings.isEmpty()) {
      return new PeerTls(Optional.empty(), Optional.empty());
    }
    TlsSettings tls = settings.get();
    File certificate = new File(tls.certificate());
    File key = new File(tls.key());
    File trusted = new File(tls.trusted().isEmpty() ? tls.certificate() : tls.trusted());
    try {
      SslContext server =
          SslContextBuilder.forServer(certificate, key)
              .trustManager(trusted)
              .clientAuth(ClientAuth.REQUIRE)
              .build();
      SslContext client =
          SslContextBuilder.forClient()
              .keyManager(certificate, key)
              .trustManager(trusted)
              .endpointIdentificationAlgorithm(null)
              .build();
      return new PeerTls(Optional.of(server), Optional.of(client));
    } catch (SSLException | IllegalArgumentException e) {
      SettingsFault fault =
          new SettingsFault("peers.tls", tls.certificate(), "name PEM files that fit together");
      throw new BadSettingsException("peers", java.util.List.of(fault));
    }
  }
}
