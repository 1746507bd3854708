// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles operating system signals through the JDK's only interface for them. That interface is
 * reached by reflection because the compiler warns of it in a way that cannot be silenced, and
 * warnings fail the build.
 */
public final class Signals {
  private Signals() {}

  /** Runs a step whenever a signal such as {@code TERM} comes. */
  public static void handle(String signal, Runnable step) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      InvocationHandler onSignal =
          (proxy, method, arguments) -> {
            step.run();
            return null;
          };
      Object handler =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(), new Class<?>[] {handlerType}, onSignal);
      Object named = signalType.getConstructor(String.class).newInstance(signal);
      signalType.getMethod("handle", signalType, handlerType).invoke(null, named, handler);
    } catch (ReflectiveOperationException e) {
      // Without the interface the JVM's own behaviour stays: a signal ends the process at once.
      new org.fawndrum.internal.log.HostLog("org.fawndrum.host")
          .failure(org.fawndrum.internal.log.LogEvent.DUTY_FAILED, e, "signals");
    }
  }
}
