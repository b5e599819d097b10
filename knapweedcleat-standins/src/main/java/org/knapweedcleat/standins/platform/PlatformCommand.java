package org.knapweedcleat.standins.platform;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knapweedcleat.standins.fault.Pairs;
import org.kohsuke.args4j.Option;

/** Starts the platform. */
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
    PublishedValues published = PublishedValues.create();
    for (String value : values) {
      int equals = value.indexOf('=');
      published.put(value.substring(0, equals), read(value.substring(equals + 1)));
    }
    published.put(PlatformServer.INSTANCES, InstanceList.encode(listed()));
    PlatformServer server = PlatformServer.of(host, port, instancesLagMillis, published);
    Vertx.vertx().deployVerticle(server).await();
    System.out.println("ready");
  }

  private List<InstanceList.Entry> listed() {
    List<InstanceList.Entry> entries = new ArrayList<>();
    for (String instance : instances) {
      Pairs pairs = Pairs.parse(instance);
      entries.add(
          new InstanceList.Entry(
              pairs.text("id"),
              pairs.text("domain"),
              pairs.text("host"),
              pairs.number("peerPort"),
              "LIVE"));
    }
    return entries;
  }

  private static String read(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
