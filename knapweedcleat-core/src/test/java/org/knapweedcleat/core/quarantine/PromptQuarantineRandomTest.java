package org.knapweedcleat.core.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.core.id.EndpointId;

/** Instances whose reports of losses and acquittals are late, or repeated until one arrives. */
class PromptQuarantineRandomTest {

  private static final int INSTANCES = 5;
  private static final int ENGINES = 12;
  private static final int SHARED_PARTS = 4;
  private static final long STEP_MILLIS = 20;
  private static final long WARM_UP_MILLIS = 5_000;
  private static final long END_MILLIS = 40_000;
  private static final long CRASH_MILLIS = 100;
  private static final long SURVIVED_MILLIS = 1_500;
  private static final long REPORT_REPEAT_MILLIS = 500;
  private static final int TOLERATED_CRASHES = 5;
  private static final long CONTACT_MILLIS = 4_000;
  private static final int MAX_LATE_REQUESTS = 3;

  private record Call(
      int instance,
      int engine,
      String id,
      Set<PromptPartId> parts,
      String bad,
      long sentAtMillis) {}

  private record Delivery(long atMillis, Runnable action) {}

  private final List<PromptQuarantine> instances = new ArrayList<>();
  private final List<EndpointIncarnation> engines = new ArrayList<>();
  private final List<Call> running = new ArrayList<>();
  private final PriorityQueue<Delivery> deliveries =
      new PriorityQueue<>(Comparator.comparingLong(Delivery::atMillis));
  private final Map<String, List<Long>> crashes = new HashMap<>();
  private final Map<String, List<Long>> arrivals = new HashMap<>();
  private Random random;
  private long nowMillis;
  private long number;
  private int soundSent;
  private int soundRefused;

  @ParameterizedTest
  @CsvSource({"0, 1.5", "1, 0", "1, 0.3", "3, 0", "3, 0.3"})
  void partsThatCrashEnginesCeaseAndSoundRequestsRun(int badParts, double otherCrashesPerSecond) {
    for (int seed = 1; seed <= 40; seed++) {
      start(seed);
      for (nowMillis = 0; nowMillis < END_MILLIS; nowMillis += STEP_MILLIS) {
        step(nowMillis < WARM_UP_MILLIS ? 0 : badParts, otherCrashesPerSecond);
      }
      String reason = "seed " + seed;
      arrivals.forEach((part, sent) -> assertCeased(reason, part, sent));
      assertThat(reason + " of " + soundSent, soundRefused, lessThanOrEqualTo(soundSent / 50));
    }
  }

  private void assertCeased(String reason, String part, List<Long> sent) {
    List<Long> ended = crashes.getOrDefault(part, List.of());
    if (ended.size() >= TOLERATED_CRASHES) {
      long fromMillis = ended.get(TOLERATED_CRASHES - 1) + CONTACT_MILLIS;
      int late = (int) sent.stream().filter(atMillis -> atMillis > fromMillis).count();
      assertThat(reason + " " + part, late, lessThanOrEqualTo(MAX_LATE_REQUESTS));
    }
  }

  private void start(int seed) {
    random = new Random(seed);
    instances.clear();
    engines.clear();
    running.clear();
    deliveries.clear();
    crashes.clear();
    arrivals.clear();
    soundSent = 0;
    soundRefused = 0;
    IntStream.range(0, INSTANCES).forEach(i -> instances.add(PromptQuarantine.create()));
    IntStream.range(0, ENGINES).forEach(i -> engines.add(newEngine()));
  }

  private void step(int badParts, double otherCrashesPerSecond) {
    while (!deliveries.isEmpty() && deliveries.peek().atMillis() <= nowMillis) {
      deliveries.poll().action().run();
    }
    for (Call call : List.copyOf(running)) {
      finish(call);
    }
    for (int i = 0; i < badParts; i++) {
      if (happens(1.5)) {
        send("bad-" + i);
      }
    }
    if (happens(12)) {
      send("");
    }
    if (happens(otherCrashesPerSecond)) {
      crash(random.nextInt(ENGINES));
    }
  }

  private boolean happens(double perSecond) {
    return random.nextDouble() < perSecond * STEP_MILLIS / 1_000;
  }

  private void send(String bad) {
    int instance = random.nextInt(INSTANCES);
    Set<PromptPartId> parts = new HashSet<>();
    parts.add(PromptPartId.of("shared-" + random.nextInt(SHARED_PARTS)));
    parts.add(PromptPartId.of(bad.isEmpty() ? "document-" + random.nextInt(100) : bad));
    boolean refused = instances.get(instance).find(nowMillis, parts).isPresent();
    if (bad.isEmpty()) {
      soundSent++;
      soundRefused += refused ? 1 : 0;
    } else if (!refused) {
      arrivals.computeIfAbsent(bad, part -> new ArrayList<>()).add(nowMillis);
    }
    if (!refused) {
      String id = "id-" + ++number;
      running.add(new Call(instance, random.nextInt(ENGINES), id, parts, bad, nowMillis));
    }
  }

  private void finish(Call call) {
    long elapsedMillis = nowMillis - call.sentAtMillis();
    if (!running.contains(call)) {
      return;
    }
    if (!call.bad().isEmpty() && elapsedMillis >= CRASH_MILLIS) {
      crashes.computeIfAbsent(call.bad(), part -> new ArrayList<>()).add(nowMillis);
      crash(call.engine());
    } else if (elapsedMillis >= SURVIVED_MILLIS) {
      running.remove(call);
      call.parts().forEach(part -> serve(call.instance(), part));
    }
  }

  private void serve(int instance, PromptPartId part) {
    ServedPart served = new ServedPart(part, nowMillis, ObservationSource.LOCAL);
    if (instances.get(instance).recordServed(served)) {
      instances.forEach(other -> report(() -> other.recordServed(served)));
    }
  }

  private void crash(int engine) {
    for (Call call : List.copyOf(running)) {
      if (call.engine() == engine) {
        running.remove(call);
        lose(call);
      }
    }
    engines.set(engine, newEngine());
  }

  private void lose(Call call) {
    EngineLoss loss =
        new EngineLoss(
            engines.get(call.engine()),
            call.id(),
            call.parts(),
            nowMillis,
            ObservationSource.LOCAL);
    instances.get(call.instance()).recordLoss(loss);
    instances.forEach(other -> report(() -> other.recordLoss(loss)));
  }

  /** Delivers a report late; one in three is lost and sent again. */
  private void report(Runnable action) {
    long atMillis = nowMillis + random.nextInt(300);
    while (random.nextInt(3) == 0) {
      atMillis += REPORT_REPEAT_MILLIS;
    }
    deliveries.add(new Delivery(atMillis, action));
  }

  private EndpointIncarnation newEngine() {
    return new EndpointIncarnation(EndpointId.of("e-" + ++number), 1);
  }
}
