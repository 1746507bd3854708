// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon.internal;

import org.jboss.logmanager.ConfiguratorFactory;
import org.jboss.logmanager.LogContextConfigurator;

/**
 * Keeps the log manager from configuring itself: {@link org.fawndrum.daemon.LogSetup} chooses
 * handlers and levels, so that a default configuration is read, built and thrown away with each
 * start. Found by the log manager through the list of services.
 */
public final class OwnLogSetup implements ConfiguratorFactory {
  /** The log manager takes the factory with the lowest; its own has 100. */
  private static final int BEFORE_ALL = 0;

  @Override
  public LogContextConfigurator create() {
    return LogContextConfigurator.EMPTY;
  }

  @Override
  public int priority() {
    return BEFORE_ALL;
  }
}
