package org.knapweedcleat.router;

import com.codahale.metrics.MetricRegistry;
import io.vavr.collection.Seq;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.knapweedcleat.core.config.ConfigFault;
import org.knapweedcleat.core.config.InstanceSettings;
import org.knapweedcleat.core.config.InstanceSettingsParser;
import org.knapweedcleat.router.lifecycle.OutOfMemoryExit;
import org.knapweedcleat.router.node.NodeContext;
import org.knapweedcleat.router.node.RouterNode;
import org.knapweedcleat.router.operator.LogShutdown;
import org.knapweedcleat.router.operator.RingAuditTrail;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Entry point of {@code knapweedcleatd}, one instance of the router. */
public final class RouterMain {

  private static final int MAX_AUDIT_ENTRIES = 10_000;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_FAILED = 1;

  @Option(
      name = "--settings",
      metaVar = "FILE",
      usage = "the instance's settings file",
      required = true)
  private Path settingsFile;

  @Option(
      name = "--adapter",
      metaVar = "NAME",
      usage = "run as a forwarder, using the named platform adapter")
  private String adapterName;

  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  private RouterMain() {}

  /**
   * Runs an instance until it is stopped.
   *
   * @param arguments the command line: {@code --settings FILE [--adapter NAME]} or {@code --help}
   */
  public static void main(String[] arguments) {
    OutOfMemoryExit.install();
    RouterMain main = new RouterMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      System.err.println("knapweedcleatd: " + e.getMessage());
      parser.printUsage(System.err);
      System.exit(EXIT_USAGE);
    }
    if (main.help) {
      System.out.println("usage: knapweedcleatd --settings FILE [--adapter NAME]");
      parser.printUsage(System.out);
      return;
    }
    if (main.adapterName == null) {
      main.run();
    } else {
      ForwarderMain.run(main.settingsFile, main.adapterName);
    }
  }

  private void run() {
    InstanceSettings settings = readSettings();
    Vertx vertx = Vertx.vertx();
    OutOfMemoryExit.watch(vertx);
    RingAuditTrail audit = RingAuditTrail.of(MAX_AUDIT_ENTRIES, System::currentTimeMillis);
    NodeContext context = NodeContext.of(settings, new MetricRegistry(), audit);
    RouterNode.start(vertx, context)
        .onSuccess(node -> Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(node))))
        .onSuccess(node -> node.stopped().onComplete(stopped -> endProcess()))
        .onSuccess(node -> log().info("{} listens", context.incarnation()))
        .onFailure(RouterMain::exit);
  }

  private InstanceSettings readSettings() {
    try {
      String text = Files.readString(settingsFile);
      return InstanceSettingsParser.parse(settingsFile.toString(), text)
          .fold(RouterMain::exitWithFaults, settings -> settings);
    } catch (IOException e) {
      System.err.println("knapweedcleatd: cannot read " + settingsFile + ": " + e.getMessage());
      System.exit(EXIT_USAGE);
      throw new IllegalStateException(e);
    }
  }

  private static InstanceSettings exitWithFaults(Seq<ConfigFault> faults) {
    faults.forEach(System.err::println);
    System.exit(EXIT_USAGE);
    throw new IllegalStateException("exiting");
  }

  private static void exit(Throwable cause) {
    log().error("cannot start the instance", cause);
    LogShutdown.flushAndStop();
    System.exit(EXIT_FAILED);
  }

  /** Exits on a separate thread, since shutdown hooks wait for the event loop. */
  private static void endProcess() {
    new Thread(() -> System.exit(0), "end").start();
  }

  /** Delays the exit of the process until the node has drained. */
  private static void drain(RouterNode node) {
    CountDownLatch done = new CountDownLatch(1);
    node.drain().onComplete(drained -> done.countDown());
    try {
      done.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    LogShutdown.flushAndStop();
  }

  /**
   * Not a field, since initializing the logger would delay the installation of the SIGHUP handler.
   */
  private static Logger log() {
    return LoggerFactory.getLogger(RouterMain.class);
  }
}
