package org.knapweedcleat.router.forward.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.quarantine.PromptPartId;
import org.knapweedcleat.router.forward.fleet.SimulatedFleet.Node;

/** Requests with certain parts in their prompts crash the engines of a fleet. */
class FleetQuarantineTest {

  private static final long STEP_MILLIS = 20;

  /** Time between the start of a request at an engine and its effect. */
  private static final long CRASH_MILLIS = 100;

  private static final long SURVIVED_MILLIS = 1_100;
  private static final int TOLERATED_CRASHES = 5;

  /** Time after the last tolerated crash from which the users count what reaches engines. */
  private static final long CONTACT_MILLIS = 4_000;

  private static final int MAX_LATE_REQUESTS = 3;
  private static final int ENGINES = 24;
  private static final double CRASHING_PER_SECOND = 1.5;
  private static final double SOUND_PER_SECOND = 20;
  private static final int SHARED_PARTS = 6;

  private final Map<String, List<Long>> crashes = new HashMap<>();
  private final Map<String, List<Long>> arrivals = new HashMap<>();
  private final List<Call> running = new ArrayList<>();
  private final List<EndpointEntry> engines = new ArrayList<>();
  private SimulatedFleet fleet;
  private Random random;
  private int engineNumber;
  private int callNumber;
  private int soundSent;
  private int soundBlocked;

  private record Call(
      Node node, int engine, String id, List<PromptPartId> parts, String crashing, long atMillis) {}

  /** Guards against instances that each have to lose engines before they act. */
  @ParameterizedTest
  @CsvSource({"9, 3, 1, 4", "9, 3, 3, 4", "24, 6, 1, 2", "24, 6, 3, 2", "96, 6, 2, 1"})
  void fleetStopsSendingPartsThatCrashEngines(int instances, int domains, int parts, int seeds) {
    for (int seed = 1; seed <= seeds; seed++) {
      start(instances, domains, seed);
      simulate(5_000, 0, 0, false);
      simulate(25_000, parts, 0.1, false);
      assertKept("seed " + seed);
    }
  }

  /** Guards against reports of losses that do not arrive, and instances that restart. */
  @ParameterizedTest
  @CsvSource({"9, 3, 2, 6", "24, 6, 2, 2"})
  void fleetWithLossyLinksStopsSendingSuchParts(int instances, int domains, int parts, int seeds) {
    for (int seed = 1; seed <= seeds; seed++) {
      start(instances, domains, seed);
      simulate(5_000, 0, 0, false);
      simulate(25_000, parts, 0.1, true);
      assertKept("seed " + seed);
    }
  }

  /** Guards against sound requests that are refused because engines crash for another reason. */
  @ParameterizedTest
  @CsvSource({"9, 3", "24, 6"})
  void crashesForOtherReasonsQuarantineNoCommonPart(int instances, int domains) {
    for (int seed = 1; seed <= 6; seed++) {
      start(instances, domains, seed);
      simulate(5_000, 0, 0, false);
      simulate(25_000, 0, 2, false);
      assertThat("seed " + seed, soundBlocked, is(0));
    }
  }

  /** Guards against instances that start while a part is in quarantine and do not learn of it. */
  @Test
  void restartedInstanceLearnsWhatIsQuarantined() {
    start(24, 6, 1);
    simulate(15_000, 1, 0, false);
    fleet.run(20_000);
    Node victim = fleet.running().get(7);
    fleet.restart(victim);
    fleet.run(CONTACT_MILLIS);

    Node successor = fleet.running().get(7);
    List<PromptPartId> parts = List.of(PromptPartId.of("shared-1"), PromptPartId.of("bad-0"));
    assertThat(successor.quarantine.find(parts).isPresent(), is(true));
  }

  private void start(int instances, int domains, int seed) {
    String[] names = {"a", "b", "c", "d", "e", "f"};
    fleet = SimulatedFleet.of(instances, Arrays.copyOf(names, domains));
    random = new Random(seed);
    crashes.clear();
    arrivals.clear();
    running.clear();
    engines.clear();
    soundSent = 0;
    soundBlocked = 0;
    for (int i = 0; i < ENGINES; i++) {
      engines.add(newEngine());
    }
    fleet.run(10_000);
  }

  private void assertKept(String reason) {
    arrivals.forEach(
        (part, sent) -> {
          List<Long> ended = crashes.getOrDefault(part, List.of());
          if (ended.size() >= TOLERATED_CRASHES) {
            long fromMillis = ended.get(TOLERATED_CRASHES - 1) + CONTACT_MILLIS;
            int late = (int) sent.stream().filter(atMillis -> atMillis > fromMillis).count();
            assertThat(reason + " " + part, late, lessThanOrEqualTo(MAX_LATE_REQUESTS));
          }
        });
    assertThat(reason, crashes.isEmpty(), is(false));
    assertThat(reason, soundSent, greaterThan(0));
    assertThat(reason + " of " + soundSent, soundBlocked, lessThanOrEqualTo(soundSent / 100));
  }

  private void simulate(
      long millis, int crashingParts, double otherCrashesPerSecond, boolean lossy) {
    long endMillis = fleet.nowMillis() + millis;
    while (fleet.nowMillis() < endMillis) {
      fleet.run(STEP_MILLIS);
      if (lossy) {
        disturb();
      }
      finishCalls();
      for (int part = 0; part < crashingParts; part++) {
        if (happens(CRASHING_PER_SECOND)) {
          send("bad-" + part);
        }
      }
      if (happens(SOUND_PER_SECOND)) {
        send("");
      }
      if (happens(otherCrashesPerSecond)) {
        crash(random.nextInt(ENGINES));
      }
    }
  }

  private boolean happens(double perSecond) {
    return random.nextDouble() < perSecond * STEP_MILLIS / 1_000;
  }

  private void disturb() {
    if (happens(20)) {
      fleet.loseMessages(anyNode(), anyNode(), 500 + random.nextInt(2_500));
    }
    if (happens(0.2)) {
      fleet.restart(anyNode());
    }
  }

  private Node anyNode() {
    List<Node> nodes = fleet.running();
    return nodes.get(random.nextInt(nodes.size()));
  }

  /** Sends a request, with a part that crashes engines or with a sound one in its place. */
  private void send(String crashing) {
    Node node = anyNode();
    List<PromptPartId> parts = new ArrayList<>();
    parts.add(PromptPartId.of("shared-" + random.nextInt(SHARED_PARTS)));
    parts.add(PromptPartId.of(crashing.isEmpty() ? "doc-" + random.nextInt(200) : crashing));
    boolean blocked = node.quarantine.find(parts).isPresent();
    if (crashing.isEmpty()) {
      soundSent++;
      soundBlocked += blocked ? 1 : 0;
    } else if (!blocked) {
      arrivals.computeIfAbsent(crashing, part -> new ArrayList<>()).add(fleet.nowMillis());
    }
    if (!blocked) {
      String id = "id-" + ++callNumber;
      running.add(new Call(node, random.nextInt(ENGINES), id, parts, crashing, fleet.nowMillis()));
    }
  }

  private void finishCalls() {
    for (Call call : List.copyOf(running)) {
      long elapsedMillis = fleet.nowMillis() - call.atMillis();
      if (!running.contains(call)) {
        continue;
      }
      if (!call.crashing().isEmpty() && elapsedMillis >= CRASH_MILLIS) {
        crashes.computeIfAbsent(call.crashing(), part -> new ArrayList<>()).add(fleet.nowMillis());
        crash(call.engine());
      } else if (elapsedMillis >= SURVIVED_MILLIS) {
        call.node().quarantine.recordServed(call.parts());
        running.remove(call);
      }
    }
  }

  /** Ends an engine under all its requests that have not made progress yet. */
  private void crash(int engine) {
    for (Iterator<Call> calls = running.iterator(); calls.hasNext(); ) {
      Call call = calls.next();
      if (call.engine() == engine) {
        call.node().quarantine.recordLoss(engines.get(engine), call.id(), call.parts());
        calls.remove();
      }
    }
    engines.set(engine, newEngine());
  }

  private EndpointEntry newEngine() {
    return new EndpointEntry(
        EndpointId.of("e-" + ++engineNumber),
        1,
        ServiceId.of("notes"),
        "10.9.0.1",
        8_080,
        FailureDomainId.of("a"),
        EndpointStage.DECODE,
        6,
        false);
  }
}
