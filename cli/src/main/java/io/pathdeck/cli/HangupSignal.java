package io.pathdeck.cli;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Runs an action on SIGHUP, which would end the Java machine otherwise.
 *
 * <p>The only interface for signals, {@code sun.misc.Signal}, is reached by reflection, because the
 * compiler warns of any direct use and warnings are errors here.
 */
final class HangupSignal {
  private HangupSignal() {}

  /** Runs {@code action} on each SIGHUP; returns false when this Java machine offers no signals. */
  static boolean onHangup(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      InvocationHandler onSignal =
          (proxy, method, arguments) -> {
            if (method.getName().equals("handle")) {
              action.run();
            }
            return null;
          };
      Object proxy =
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, onSignal);
      Object hangup = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
      return true;
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      return false;
    }
  }
}
