package org.knapweedcleat.router.lifecycle;

import ch.qos.logback.classic.LoggerContext;
import io.vertx.core.Vertx;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends the process when an {@link OutOfMemoryError} is reported, so that the platform restarts it.
 *
 * <p>Event loops catch what their handlers throw and continue. After an {@code OutOfMemoryError}
 * this leaves a process that listens but does not respond. The JVM option {@code
 * -XX:+ExitOnOutOfMemoryError} ends the process earlier; this class also covers command lines
 * without it, and errors that Java code throws, such as Netty's for direct memory.
 */
public final class OutOfMemoryExit {

  /** The same status as that of the JVM option. */
  static final int EXIT_STATUS = 3;

  private static final int MAX_CAUSES = 8;

  /** Created beforehand, since nothing can be allocated when they are needed. */
  private static final byte[] LINE =
      "knapweedcleatd: exits because of a java.lang.OutOfMemoryError\n"
          .getBytes(StandardCharsets.US_ASCII);

  private static final FileOutputStream STANDARD_ERROR = new FileOutputStream(FileDescriptor.err);

  private OutOfMemoryExit() {}

  /** Covers threads that end with an uncaught exception; initializes no logger. */
  public static void install() {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, failure) -> {
          exitIfOutOfMemory(failure);
          System.err.print("Exception in thread \"" + thread.getName() + "\" ");
          failure.printStackTrace();
        });
  }

  /**
   * Covers what handlers throw on event loops, and what libraries catch and only log.
   *
   * @param vertx runs the event loops; its handler of uncaught exceptions is replaced
   */
  public static void watch(Vertx vertx) {
    Logger log = LoggerFactory.getLogger(OutOfMemoryExit.class);
    if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
      context.addTurboFilter(new OutOfMemoryLogFilter());
    }
    vertx.exceptionHandler(
        failure -> {
          exitIfOutOfMemory(failure);
          log.error("unhandled exception", failure);
        });
  }

  /**
   * Ends the process if the failure is an {@code OutOfMemoryError} or caused by one. Shutdown hooks
   * do not run, since they need memory.
   *
   * @param failure the failure, or null
   */
  public static void exitIfOutOfMemory(Throwable failure) {
    if (!isOutOfMemory(failure)) {
      return;
    }
    try {
      STANDARD_ERROR.write(LINE);
    } catch (IOException e) {
      // The process exits in any case.
    } finally {
      Runtime.getRuntime().halt(EXIT_STATUS);
    }
  }

  static boolean isOutOfMemory(Throwable failure) {
    Throwable cause = failure;
    for (int i = 0; cause != null && i < MAX_CAUSES; i++) {
      if (cause instanceof OutOfMemoryError) {
        return true;
      }
      cause = cause.getCause();
    }
    return false;
  }
}
