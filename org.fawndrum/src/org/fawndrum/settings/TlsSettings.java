// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

/**
 * Files for encrypted connections, in PEM form.
 *
 * @param certificate the certificate with its chain
 * @param key its private key
 * @param trusted certificates of the authorities trusted for the other side; empty for none
 */
public record TlsSettings(String certificate, String key, String trusted) {}
