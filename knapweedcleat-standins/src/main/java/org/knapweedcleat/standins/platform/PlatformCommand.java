package org.knapweedcleat.standins.platform;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knapweedcleat.standins.fault.KeyValueOption;
import org.kohsuke.args4j.Option;

/** Starts the platform stub. */
public final class PlatformCommand implements Runnable {

  @Option(name = "--host", metaVar = "IP")
  private String host = "127.0.0.1";

  @Option(name = "--port", required = true, metaVar = "PORT")
  private int port;

  @Option(name = "--value", metaVar = "NAME=FILE")
  private List<String> values = new ArrayList<>();

  @Option(name = "--instance", metaVar = "id=ID,domain=DOMAIN,host=IP,peerPort=PORT")
  private List<String> instances = new ArrayList<>();

  @Option(name = "--instances-lag-millis", metaVar = "N")
  private int instancesLagMillis = 300;

  @Override
  public void run() {
    ValueHistory history = ValueHistory.create();
    for (String value : values) {
      int equals = value.indexOf('=');
      history.put(value.substring(0, equals), readFile(value.substring(equals + 1)));
    }
    history.put(PlatformServer.INSTANCES_NAME, InstanceList.encode(instanceEntries()));
    PlatformServer server = PlatformServer.of(host, port, instancesLagMillis, history);
    Vertx.vertx().deployVerticle(server).await();
    System.out.println("ready");
  }

  private List<InstanceList.Entry> instanceEntries() {
    List<InstanceList.Entry> entries = new ArrayList<>();
    for (String instance : instances) {
      KeyValueOption option = KeyValueOption.parse(instance);
      entries.add(
          new InstanceList.Entry(
              option.string("id"),
              option.string("domain"),
              option.string("host"),
              option.integer("peerPort"),
              "LIVE"));
    }
    return entries;
  }

  private static String readFile(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
