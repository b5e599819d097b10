package org.knapweedcleat.standins.load;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.json.Json;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.kohsuke.args4j.Option;

/** Sends requests to several instances at a fixed rate and prints the totals. */
public final class LoadCommand implements Runnable {

  private static final long MILLIS_PER_SECOND = 1_000;

  @Option(name = "--target", required = true, metaVar = "IP:PORT")
  private List<String> targets = new ArrayList<>();

  @Option(name = "--path", required = true, metaVar = "PATH")
  private String path;

  @Option(name = "--key", required = true, metaVar = "KEY")
  private List<String> keys = new ArrayList<>();

  @Option(name = "--requests", metaVar = "N")
  private int requests = 100;

  @Option(name = "--per-second", metaVar = "N")
  private int perSecond = 20;

  @Option(name = "--max-in-flight", metaVar = "N")
  private int maxInFlight = 100;

  @Option(name = "--prompt-chars", metaVar = "N")
  private int promptChars = 400;

  @Option(name = "--max-tokens", metaVar = "N")
  private int maxTokens = 32;

  @Option(name = "--seed", metaVar = "N")
  private long seed = 1;

  private final LoadStatistics statistics = LoadStatistics.create();
  private final Promise<Void> done = Promise.promise();
  private int scheduled;
  private int inFlight;

  @Override
  public void run() {
    Vertx vertx = Vertx.vertx();
    vertx.runOnContext(
        context -> {
          StreamClient client = StreamClient.of(vertx);
          UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
          long gapMillis = Math.max(1, MILLIS_PER_SECOND / perSecond);
          vertx.setPeriodic(1, gapMillis, timer -> sendNext(vertx, client, random, timer));
        });
    done.future().await();
    System.out.println(Json.encodePrettily(statistics.totals()));
    vertx.close().await();
  }

  private void sendNext(
      Vertx vertx, StreamClient client, UniformRandomProvider random, long timer) {
    scheduled++;
    if (scheduled == requests) {
      vertx.cancelTimer(timer);
    }
    if (inFlight >= maxInFlight) {
      statistics.recordSkipped();
      completeIfLast();
      return;
    }
    inFlight++;
    long sentNanos = System.nanoTime();
    SocketAddress target = address(targets.get(scheduled % targets.size()));
    client
        .send(target, createRequest(scheduled, random.nextLong()), event -> {})
        .onSuccess(response -> onResponse(response, sentNanos));
  }

  private StreamRequest createRequest(int number, long random) {
    String key = keys.get(number % keys.size());
    return StreamRequest.of(path, key, prompt(number, random), maxTokens);
  }

  private void onResponse(StreamedResponse response, long sentNanos) {
    inFlight--;
    statistics.record(response, sentNanos);
    completeIfLast();
  }

  private void completeIfLast() {
    if (statistics.processed() == requests) {
      done.tryComplete();
    }
  }

  private String prompt(int number, long random) {
    String prefix = "practice log " + number + " " + Long.toHexString(random) + " ";
    return prefix + "x".repeat(Math.max(0, promptChars - prefix.length()));
  }

  private static SocketAddress address(String target) {
    int colon = target.lastIndexOf(':');
    return SocketAddress.inetSocketAddress(
        Integer.parseInt(target.substring(colon + 1)), target.substring(0, colon));
  }
}
