package org.knapweedcleat.standins.plain;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.knapweedcleat.standins.fault.Pairs;
import org.kohsuke.args4j.Option;

/** Starts plain services. */
public final class PlainCommand implements Runnable {

  @Option(name = "--endpoint", required = true, metaVar = "id=ID,host=HOST,port=PORT")
  private List<String> endpoints = new ArrayList<>();

  @Override
  public void run() {
    Vertx vertx = Vertx.vertx();
    for (String endpoint : endpoints) {
      Pairs pairs = Pairs.parse(endpoint);
      PlainServer server =
          PlainServer.of(pairs.text("id"), pairs.text("host"), pairs.number("port"));
      vertx.deployVerticle(server).await();
    }
    System.out.println("ready");
  }
}
