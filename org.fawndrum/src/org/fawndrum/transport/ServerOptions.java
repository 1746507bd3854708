// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import org.fawndrum.settings.ListenSettings;
import org.fawndrum.settings.TlsSettings;

/**
 * Creates the options of an HTTP server from settings. Only HTTP/1.1 is enabled: a connection
 * carries one request at a time, so that closing it affects no other request.
 */
final class ServerOptions {
  private static final int MAX_REQUEST_LINE_LENGTH = 8_192;

  private ServerOptions() {}

  static HttpServerOptions of(ListenSettings listen, int headerBytes) {
    HttpServerOptions options =
        new HttpServerOptions()
            .setHost(listen.address().ip())
            .setPort(listen.address().port())
            .setMaxHeaderSize(headerBytes)
            .setMaxInitialLineLength(MAX_REQUEST_LINE_LENGTH)
            .setHttp2ClearTextEnabled(false)
            .setUseAlpn(false);
    listen.tls().ifPresent(tls -> encrypt(options, tls));
    return options;
  }

  private static void encrypt(HttpServerOptions options, TlsSettings tls) {
    options
        .setSsl(true)
        .setKeyCertOptions(
            new PemKeyCertOptions().setCertPath(tls.certificate()).setKeyPath(tls.key()));
    if (!tls.trusted().isEmpty()) {
      options
          .setTrustOptions(new PemTrustOptions().addCertPath(tls.trusted()))
          .setClientAuth(io.vertx.core.http.ClientAuth.REQUIRED);
    }
  }
}
