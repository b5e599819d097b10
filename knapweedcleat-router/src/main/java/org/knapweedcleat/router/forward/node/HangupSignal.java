package org.knapweedcleat.router.forward.node;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles SIGHUP, whose default action ends the process. */
public final class HangupSignal {

  private volatile Runnable action = () -> {};

  private HangupSignal() {}

  /**
   * Installs the handler. Call this first: until then SIGHUP ends the JVM.
   *
   * <p>The JDK's only signal API is undocumented, so it is accessed by reflection; if it is
   * missing, SIGHUP keeps its default action.
   *
   * @return the handler, which does nothing until an action is set
   */
  public static HangupSignal install() {
    HangupSignal hangup = new HangupSignal();
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      InvocationHandler runAction =
          (proxy, method, arguments) -> {
            hangup.action.run();
            return null;
          };
      Object proxy =
          Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, runAction);
      Object name = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, name, proxy);
    } catch (ReflectiveOperationException e) {
      Logger log = LoggerFactory.getLogger(HangupSignal.class);
      log.warn(
          "cannot handle SIGHUP; the settings file is still checked for changes periodically", e);
    }
    return hangup;
  }

  /**
   * Sets the action to run on SIGHUP.
   *
   * @param newAction runs on a JVM thread
   */
  public void onSignal(Runnable newAction) {
    action = newAction;
  }
}
