package org.knapweedcleat.router.operator;

import ch.qos.logback.classic.LoggerContext;
import org.slf4j.LoggerFactory;

/** Shuts down logging at the end of the process. */
public final class LogShutdown {

  private LogShutdown() {}

  /** Flushes pending log lines and stops logging; must be the last call before exit. */
  public static void flushAndStop() {
    if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
      context.stop();
    }
  }
}
