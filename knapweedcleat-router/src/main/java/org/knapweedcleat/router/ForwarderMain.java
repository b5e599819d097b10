package org.knapweedcleat.router;

import io.vavr.control.Validation;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ServiceLoader;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.knapweedcleat.core.config.ForwarderSettings;
import org.knapweedcleat.core.config.ForwarderSettingsParser;
import org.knapweedcleat.router.forward.codec.PlatformAdapter;
import org.knapweedcleat.router.forward.node.ForwarderNode;
import org.knapweedcleat.router.forward.node.HangupSignal;
import org.knapweedcleat.router.forward.node.SettingsFollower;
import org.knapweedcleat.router.lifecycle.OutOfMemoryExit;
import org.knapweedcleat.router.operator.LogShutdown;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs {@code knapweedcleatd} as an instance that forwards calls on a platform. */
final class ForwarderMain {

  private static final int EXIT_USAGE = 2;
  private static final int EXIT_FAILED = 1;

  /** Part of the shutdown time reserved for the process to exit. */
  private static final long EXIT_MARGIN_MILLIS = 150;

  private ForwarderMain() {}

  static void run(Path settingsFile, String adapterName) {
    final HangupSignal hangup = HangupSignal.install();
    PlatformAdapter adapter = adapter(adapterName);
    ForwarderSettings settings = read(settingsFile);
    VertxOptions options =
        new VertxOptions()
            .setEventLoopPoolSize(1)
            .setWorkerPoolSize(1)
            .setInternalBlockingPoolSize(1)
            .setFileSystemOptions(
                new FileSystemOptions()
                    .setFileCachingEnabled(false)
                    .setClassPathResolvingEnabled(false));
    Vertx vertx = Vertx.vertx(options);
    OutOfMemoryExit.watch(vertx);
    Future<ForwarderNode> start = ForwarderNode.start(vertx, settings, adapter);
    long stopMillis = settings.bounds().stopMillis();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(start, stopMillis), "drain"));
    start
        .onSuccess(node -> SettingsFollower.follow(vertx, hangup, settingsFile, node::reload))
        .onFailure(
            failure -> {
              log().error("cannot start the instance", failure);
              exit(EXIT_FAILED);
            });
  }

  /** Delays the exit of the process until the node has drained or the shutdown time is over. */
  private static void drain(Future<ForwarderNode> start, long stopMillis) {
    if (start.failed()) {
      return;
    }
    CountDownLatch done = new CountDownLatch(1);
    start.compose(ForwarderNode::drain).onComplete(drained -> done.countDown());
    try {
      if (!done.await(stopMillis - EXIT_MARGIN_MILLIS, TimeUnit.MILLISECONDS)) {
        log().warn("graceful shutdown did not finish within the configured time; exiting");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    LogShutdown.flushAndStop();
    Runtime.getRuntime().halt(0);
  }

  private static PlatformAdapter adapter(String name) {
    return ServiceLoader.load(PlatformAdapter.class).stream()
        .map(ServiceLoader.Provider::get)
        .filter(adapter -> adapter.name().equals(name))
        .findFirst()
        .orElseGet(
            () -> {
              System.err.println("knapweedcleatd: no adapter " + name + " on the class path");
              System.exit(EXIT_USAGE);
              throw new IllegalStateException("exiting");
            });
  }

  private static ForwarderSettings read(Path file) {
    try {
      Validation<?, ForwarderSettings> settings =
          ForwarderSettingsParser.parse(file.toString(), Files.readString(file))
              .mapError(
                  faults -> {
                    faults.forEach(System.err::println);
                    return faults;
                  });
      return settings.getOrElseThrow(() -> new IllegalStateException("the settings are not valid"));
    } catch (IOException | IllegalStateException e) {
      System.err.println("knapweedcleatd: cannot use " + file + ": " + e.getMessage());
      System.exit(EXIT_USAGE);
      throw new IllegalStateException(e);
    }
  }

  private static void exit(int status) {
    LogShutdown.flushAndStop();
    new Thread(() -> System.exit(status), "end").start();
  }

  /**
   * Not a field, since initializing the logger would delay the installation of the SIGHUP handler.
   */
  private static Logger log() {
    return LoggerFactory.getLogger(ForwarderMain.class);
  }
}
