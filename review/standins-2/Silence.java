import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The open connections between the zones go silent, new ones work; later an engine leaves. Engines
 * must get orders from one holder only.
 */
final class Silence {

  private static final int MACHINES = 9;
  private static final int ZONE_SIZE = 3;
  private static final long LEASE_MILLIS = 3000;

  private static final String CONFIG =
      """
      {"version": 3,
       "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                  "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
       "routes": [
         {"name": "timetable-check", "host": "review.example", "prefix": "/times/",
          "kind": "safe", "service": "school-desk", "timeout_ms": 2500,
          "target_latency_ms": 486, "priority": 2, "max_attempts": 2},
         {"name": "tuning-note", "host": "review.example", "prefix": "/notes/",
          "kind": "stream", "service": "horn-tutor", "timeout_ms": 14000,
          "target_latency_ms": 900, "target_gap_ms": 300, "priority": 1, "max_attempts": 1}],
       "services": [
         {"name": "school-desk", "max_connections": 110},
         {"name": "horn-tutor", "max_connections": 370,
          "engine": {"slots": 64, "kv_capacity_tokens": 34035, "kv_ttl_s": 2.0}}],
       "tenants": [{"name": "t1", "api_keys": ["review-key-1"]}]}
      """;

  private Silence() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(arguments[0]));
    Path folder = Files.createTempDirectory("review-silence");
    List<Machine> machines = new ArrayList<>();
    int status = 2;
    try {
      status = play(record, folder, machines, trouble);
    } catch (Exception e) {
      record.result("the case could not run: " + e);
    } finally {
      machines.forEach(Machine::kill);
      Folders.delete(folder);
      record.close();
    }
    System.exit(status);
  }

  private static int zone(int machine) {
    return (machine - 1) / ZONE_SIZE;
  }

  private static int play(Record record, Path folder, List<Machine> machines, boolean trouble)
      throws Exception {
    Store store = new Store("127.0.0.1");
    store.put("op/config", CONFIG);
    String[] zones = {"kayseri-a", "kayseri-b", "bursa-a"};
    Map<String, String> regions = new LinkedHashMap<>();
    regions.put("kayseri-a", "anatolia-central");
    regions.put("kayseri-b", "anatolia-central");
    regions.put("bursa-a", "marmara");
    List<ModelEngine.Order> orders = new ArrayList<>();
    List<ModelEngine> engines = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      String stage = i < 2 ? "prefill" : "decode";
      ModelEngine engine =
          new ModelEngine(
              "engine-" + (i + 1), zones[i % 3], stage, "127.0.0.1", store, orders, record);
      engines.add(engine);
      engine.publish("ready");
    }
    for (int i = 0; i < 3; i++) {
      PlainServer server =
          new PlainServer("desk-" + i, "school-desk", zones[i], "127.0.0.1", 6, 40, record);
      store.put("servers/" + server.id, server.entry());
    }
    String[] hosts = new String[MACHINES];
    for (int i = 1; i <= MACHINES; i++) {
      hosts[i - 1] = PeerPaths.host(i);
    }
    int port = Ports.free(hosts);
    final PeerPaths paths = new PeerPaths(MACHINES, port + 2);
    for (int i = 1; i <= MACHINES; i++) {
      List<String> seeds = new ArrayList<>();
      for (int seed = 1; seed <= MACHINES; seed += ZONE_SIZE) {
        seeds.add(PeerPaths.seenAt(i, seed) + ":" + (port + 2));
      }
      Machine machine =
          new Machine(
              "front-" + i, zones[zone(i)], PeerPaths.host(i), port, regions, seeds,
              store.address(), folder);
      machines.add(machine);
    }
    start(machines);
    record.add("all machines are ready");
    boolean[] stop = {false};
    Thread load = load(machines, stop, record);
    Thread.sleep(5000);
    if (trouble) {
      int count = paths.silence((from, to) -> zone(from) != zone(to));
      record.add(count + " open connections between the zones go silent; new ones work");
    }
    Thread.sleep(26_000);
    for (String leaving : List.of("engine-1", "engine-2", "engine-9")) {
      engines.stream().filter(one -> one.id.equals(leaving)).forEach(one -> one.publish("draining"));
      record.add(leaving + " is draining");
      Thread.sleep(5000);
      store.delete("servers/" + leaving);
      record.add(leaving + " is gone");
      Thread.sleep(15_500);
    }
    stop[0] = true;
    load.join();
    record.add("connections opened between machines in all: " + paths.opened.get());
    return judge(record, orders);
  }

  private static void start(List<Machine> machines) throws Exception {
    for (Machine machine : machines) {
      machine.start();
    }
    for (Machine machine : machines) {
      machine.awaitReady(20_000);
    }
  }

  private static Thread load(List<Machine> machines, boolean[] stop, Record record) {
    ExecutorService clients = Executors.newFixedThreadPool(16);
    Thread thread =
        new Thread(
            () -> {
              int number = 0;
              while (!stop[0]) {
                int current = number++;
                Machine machine = machines.get(current % machines.size());
                clients.submit(
                    () -> {
                      String head = Client.head("GET", "/times/1", "g-" + current, 2500);
                      Client.Outcome outcome = Client.call(machine, head, "", 3000);
                      if (outcome.status() != 200) {
                        record.add("g-" + current + " by " + machine.name + ": " + outcome);
                      }
                    });
                try {
                  Thread.sleep(100);
                } catch (InterruptedException e) {
                  return;
                }
              }
              clients.shutdown();
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Looks for orders of two holders at one engine within the time of a lease. */
  private static int judge(Record record, List<ModelEngine.Order> orders) {
    int broken = 0;
    synchronized (orders) {
      for (int i = 0; i < orders.size(); i++) {
        for (int j = i + 1; j < orders.size(); j++) {
          ModelEngine.Order first = orders.get(i);
          ModelEngine.Order second = orders.get(j);
          boolean sameEngine = first.engine().equals(second.engine());
          long between = second.atMillis() - first.atMillis();
          if (sameEngine && !first.holder().equals(second.holder()) && between < LEASE_MILLIS) {
            broken++;
            record.result(
                first.engine() + " gets orders of two holders, " + first.holder() + " and "
                    + second.holder() + ", " + between + " ms apart");
          }
        }
      }
      record.result("orders in all: " + orders.size());
      if (orders.isEmpty()) {
        record.result("the case could not run: no order was given");
        return 2;
      }
    }
    record.result(broken > 0 ? "ONE is broken" : "ONE held");
    return broken > 0 ? 1 : 0;
  }
}
