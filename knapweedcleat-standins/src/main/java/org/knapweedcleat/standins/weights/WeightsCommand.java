package org.knapweedcleat.standins.weights;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;

/** Starts the weight store stub. */
public final class WeightsCommand implements Runnable {

  @Option(name = "--host", metaVar = "IP")
  private String host = "127.0.0.1";

  @Option(name = "--port", required = true, metaVar = "PORT")
  private int port;

  @Option(name = "--calls-per-second", metaVar = "N")
  private int callsPerSecond = 5;

  @Override
  public void run() {
    Vertx.vertx().deployVerticle(WeightsServer.of(host, port, callsPerSecond)).await();
    System.out.println("ready");
  }
}
