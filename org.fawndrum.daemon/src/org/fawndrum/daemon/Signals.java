// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Installs handlers for operating system signals through {@code sun.misc.Signal}, the only JDK API
 * for them. It is called by reflection because the compiler emits a warning for it that cannot be
 * suppressed, and warnings fail the build.
 */
public final class Signals {
  private Signals() {}

  /** Runs {@code step} each time a signal such as {@code TERM} is received. */
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
      // Without this API the default handling stays: a signal terminates the process at once.
      new org.fawndrum.internal.log.HostLog("org.fawndrum.host")
          .failure(org.fawndrum.internal.log.LogEvent.DUTY_FAILED, e, "signals");
    }
  }
}
