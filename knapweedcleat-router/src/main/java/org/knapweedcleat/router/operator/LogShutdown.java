package org.knapweedcleat.router.operator;

import ch.qos.logback.classic.LoggerContext;
import org.slf4j.LoggerFactory;

/** Ends logging at the end of the process. */
public final class LogShutdown {

  private LogShutdown() {}

  /** Writes the lines that still wait and stops logging; to be called last. */
  public static void flushAndStop() {
    if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
      context.stop();
    }
  }
}
