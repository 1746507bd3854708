// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import io.vertx.core.Deployable;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.launcher.application.HookContext;
import io.vertx.launcher.application.VertxApplication;
import io.vertx.launcher.application.VertxApplicationHooks;
import java.util.function.Supplier;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.settings.HostSettings;
import org.fawndrum.transport.EntryHostRuntime;
import org.fawndrum.transport.HostClock;

/** Runs an entry host with the Vert.x launcher until a signal stops it. */
final class RunDaemon {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  private final HostSettings settings;
  private final String file;

  RunDaemon(HostSettings settings, String file) {
    this.settings = settings;
    this.file = file;
  }

  void call() {
    new VertxApplication(new String[0], new Hooks()).launch();
  }

  /** Hooks of the launcher: supplies the host and handles a failure to start it. */
  private final class Hooks implements VertxApplicationHooks {
    @Override
    public Supplier<? extends Deployable> verticleSupplier() {
      return HostVerticle::new;
    }

    @Override
    public void afterFailureToDeployVerticle(HookContext context, Throwable cause) {
      if (cause instanceof java.net.BindException) {
        System.err.println("settings " + file + ":");
        System.err.println("  " + cause.getMessage() + ": give it a free address of this host");
        System.exit(EXIT_USAGE);
      }
      System.err.println(cause);
      System.exit(EXIT_FAILED);
    }
  }

  /** The host as a verticle that the launcher deploys. */
  private final class HostVerticle extends VerticleBase {
    @Override
    public Future<?> start() {
      EntryHostRuntime host =
          new EntryHostRuntime(
              vertx,
              settings,
              HostClock.system(new HostLog("org.fawndrum.host")),
              System.currentTimeMillis());
      return host.start().onSuccess(v -> StopSignals.install(vertx, host));
    }
  }
}
