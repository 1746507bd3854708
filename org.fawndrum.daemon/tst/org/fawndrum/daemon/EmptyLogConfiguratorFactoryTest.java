// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.Comparator;
import java.util.ServiceLoader;
import org.fawndrum.daemon.internal.EmptyLogConfiguratorFactory;
import org.jboss.logmanager.ConfiguratorFactory;
import org.jboss.logmanager.LogContextConfigurator;
import org.junit.jupiter.api.Test;

/** The service loader provides the empty configurator before the default one. */
class EmptyLogConfiguratorFactoryTest {
  @Test
  void emptyConfiguratorHasLowestPriorityValue() {
    ConfiguratorFactory first =
        ServiceLoader.load(ConfiguratorFactory.class).stream()
            .map(ServiceLoader.Provider::get)
            .min(Comparator.comparingInt(ConfiguratorFactory::priority))
            .orElseThrow();
    assertInstanceOf(EmptyLogConfiguratorFactory.class, first);
    assertSame(LogContextConfigurator.EMPTY, first.create());
  }
}
