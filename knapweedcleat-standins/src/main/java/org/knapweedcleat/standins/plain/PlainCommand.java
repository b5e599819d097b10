package org.knapweedcleat.standins.plain;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.knapweedcleat.standins.fault.KeyValueOption;
import org.kohsuke.args4j.Option;

/** Starts stubs of plain endpoints. */
public final class PlainCommand implements Runnable {

  @Option(name = "--endpoint", required = true, metaVar = "id=ID,host=HOST,port=PORT")
  private List<String> endpoints = new ArrayList<>();

  @Override
  public void run() {
    Vertx vertx = Vertx.vertx();
    for (String endpoint : endpoints) {
      KeyValueOption option = KeyValueOption.parse(endpoint);
      PlainServer server =
          PlainServer.of(option.string("id"), option.string("host"), option.integer("port"));
      vertx.deployVerticle(server).await();
    }
    System.out.println("ready");
  }
}
