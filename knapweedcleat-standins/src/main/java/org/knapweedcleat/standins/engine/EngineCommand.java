package org.knapweedcleat.standins.engine;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Starts engine stubs. */
public final class EngineCommand implements Runnable {

  @Option(
      name = "--engine",
      required = true,
      metaVar = "id=ID,role=prefill|decode,host=IP,port=PORT[,pieces=N][,...]")
  private List<String> engines = new ArrayList<>();

  @Option(name = "--checks-fencing", usage = "reject orders with an old fencing number")
  private boolean checksFencing;

  @Override
  public void run() {
    Vertx vertx = Vertx.vertx();
    for (String engine : engines) {
      EngineSettings settings = EngineSettings.parse(engine, checksFencing);
      vertx.deployVerticle(EngineServer.of(settings)).await();
    }
    System.out.println("ready");
  }
}
