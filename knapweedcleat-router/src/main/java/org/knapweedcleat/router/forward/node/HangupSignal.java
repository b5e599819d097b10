package org.knapweedcleat.router.forward.node;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes SIGHUP, which would end the process. */
public final class HangupSignal {

  private volatile Runnable action = () -> {};

  private HangupSignal() {}

  /**
   * Takes the signal from now on; to be called first, since the JVM ends by it until then.
   *
   * <p>The JDK's only class for that is not part of its documented interface, so it is looked up by
   * name; without it SIGHUP keeps its meaning.
   *
   * @return what happens at the signal; nothing at first
   */
  public static HangupSignal install() {
    HangupSignal hangup = new HangupSignal();
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      InvocationHandler calls =
          (proxy, method, arguments) -> {
            hangup.action.run();
            return null;
          };
      Object proxy =
          Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, calls);
      Object name = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, name, proxy);
    } catch (ReflectiveOperationException e) {
      Logger log = LoggerFactory.getLogger(HangupSignal.class);
      log.warn("SIGHUP cannot be taken; changes of the settings file are still seen", e);
    }
    return hangup;
  }

  /**
   * Sets what happens at the signal.
   *
   * @param next runs on a thread of the JVM's own
   */
  public void onSignal(Runnable next) {
    action = next;
  }
}
