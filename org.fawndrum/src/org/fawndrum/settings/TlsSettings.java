// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

/**
 * Paths of the PEM files for encrypted connections.
 *
 * @param certificate the certificate chain
 * @param key the private key
 * @param trusted certificates of the trusted authorities for peer certificates; empty for none
 */
public record TlsSettings(String certificate, String key, String trusted) {}
