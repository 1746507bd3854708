// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon.internal;

import org.jboss.logmanager.ConfiguratorFactory;
import org.jboss.logmanager.LogContextConfigurator;

/**
 * Prevents the log manager from loading its default configuration, which would be discarded at each
 * start because {@link org.fawndrum.daemon.LogSetup} configures handlers and levels. Loaded by the
 * log manager as a service.
 */
public final class EmptyLogConfiguratorFactory implements ConfiguratorFactory {
  /** The log manager uses the factory with the lowest priority value; its default has 100. */
  private static final int HIGHEST_PRIORITY = 0;

  @Override
  public LogContextConfigurator create() {
    return LogContextConfigurator.EMPTY;
  }

  @Override
  public int priority() {
    return HIGHEST_PRIORITY;
  }
}
