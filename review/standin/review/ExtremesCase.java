package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One caller at each VM sends what the grammar allows but what is hard to pass on: values of many
 * bytes in all, long ids, or statements of a tenant whose name is odd. Other callers must be served
 * as without them.
 */
final class ExtremesCase {
  private static final int OTHERS = 12;
  private static final int PLAY_IN_MILLISECONDS = 12_000;
  private static final String ODD_KEY = "oddK3y";

  private ExtremesCase() {}

  public static void main(String[] arguments) throws Exception {
    String mode = String.valueOf(System.getenv("MODE"));
    List<Map<String, Object>> tenants =
        mode.startsWith("TENANT")
            ? List.of(Deployment.tenant(oddName(mode), ODD_KEY))
            : List.of();
    Deployment deployment = new Deployment(Path.of(arguments[0]), 0, tenants);
    Recorder recorder = deployment.recorder;
    Inspection inspection = new Inspection(recorder, Inspection.Trouble.NONE);
    for (Endpoint endpoint : deployment.endpoints) {
      endpoint.inspect(inspection);
      endpoint.workInMilliseconds = 5;
    }
    deployment.start();
    inspection.silentAtReset.set(mode.equals("SILENT_RESET") ? 60 : 0);
    Endpoint primary = deployment.group.primary;
    double end = Recorder.now() + PLAY_IN_MILLISECONDS;
    Map<String, AtomicInteger> results = new ConcurrentHashMap<>();
    Map<String, AtomicInteger> oddResults = new ConcurrentHashMap<>();
    for (int session = 0; session < OTHERS; session++) {
      Fleet.Vm vm = deployment.fleet.vms.get(session % deployment.fleet.vms.size());
      boolean writer = session / deployment.fleet.vms.size() % 2 == 0;
      Endpoint.daemon(() -> other(deployment, inspection, vm, writer, end, results));
    }
    if (deployment.trouble) {
      for (Fleet.Vm vm : deployment.fleet.vms) {
        Endpoint.daemon(() -> odd(deployment, inspection, vm, mode, end, oddResults));
      }
    }
    Deployment.sleepUntil(end + 1_000);
    int failed =
        results.entrySet().stream()
            .filter(entry -> !entry.getKey().equals("COMPLETE") && !entry.getKey().contains("allowance"))
            .mapToInt(entry -> entry.getValue().get())
            .sum();
    recorder.say("interfered %d", inspection.interfered.get());
    recorder.say("%s: others got %s; the odd callers got %s", mode, new TreeMap<>(results), new TreeMap<>(oddResults));
    recorder.say(
        "failed among the others %d; messages above 1 MiB %d; primary changed: %s",
        failed, inspection.oversized.get(), deployment.group.primary != primary);
    for (Fleet.Vm vm : deployment.fleet.vms) {
      if (!vm.process.isAlive()) {
        recorder.violation("the process of %s ended", vm.name);
      }
    }
    if (failed > 0) {
      recorder.violation("other callers failed %d times", failed);
    }
    if (inspection.oversized.get() > 0 || deployment.group.primary != primary) {
      recorder.violation("messages too long, or the primary was replaced");
    }
    deployment.finish(results.containsKey("COMPLETE"));
  }

  private static String oddName(String mode) {
    return switch (mode) {
      case "TENANT_BLANK" -> "a b";
      case "TENANT_EMPTY" -> "";
      case "TENANT_LINE" -> "a\r\nQUERY - STATUS";
      default -> "caf\u00e9";
    };
  }

  private static void count(Map<String, AtomicInteger> results, String what) {
    results.computeIfAbsent(what, key -> new AtomicInteger()).incrementAndGet();
  }

  private static String brief(String result) {
    return result.startsWith("COMPLETE") ? "COMPLETE" : result.substring(0, Math.min(60, result.length()));
  }

  private static Client.Answer send(
      Inspection inspection, Client client, String id, String text, Map<String, String> values)
      throws IOException {
    inspection.intents.put(id, new Intent(0, 0, text, "", "", values));
    return client.query(id, text);
  }

  private static void other(
      Deployment deployment,
      Inspection inspection,
      Fleet.Vm vm,
      boolean writer,
      double end,
      Map<String, AtomicInteger> results) {
    while (Recorder.now() < end) {
      try (Client client = new Client(vm.name + "/other", vm, 8_000, deployment.recorder)) {
        client.open(
            writer ? Deployment.PRIMARY_DATABASE : Deployment.BOUNDED_DATABASE, Deployment.KEY);
        while (Recorder.now() < end) {
          String text = writer ? "WRITE e1 x" : "READ e1";
          count(results, brief(send(inspection, client, Client.newId(), text, Map.of()).result()));
          Thread.sleep(100);
        }
      } catch (IOException e) {
        count(results, "closed");
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void odd(
      Deployment deployment,
      Inspection inspection,
      Fleet.Vm vm,
      String mode,
      double end,
      Map<String, AtomicInteger> results) {
    String key = mode.startsWith("TENANT") ? ODD_KEY : Deployment.KEY;
    while (Recorder.now() < end) {
      try (Client client = new Client(vm.name + "/odd", vm, 8_000, deployment.recorder)) {
        client.open(Deployment.OWN_DATABASE, key);
        Map<String, String> values = new ConcurrentHashMap<>();
        if (mode.equals("SILENT_RESET")) {
          String value = "x".repeat(70_000);
          client.query("SET v " + value);
          values.put("v", value);
        }
        if (mode.equals("VALUES")) {
          for (int index = 0; index < 10; index++) {
            String value = "x".repeat(900_000);
            client.query("SET v" + index + " " + value);
            values.put("v" + index, value);
          }
        }
        while (Recorder.now() < end) {
          String id = Client.newId();
          if (mode.equals("REFUSED_ID")) {
            id = id + "i".repeat(1024 * 1024 - 40);
            count(results, brief(client.query(id, "DEALLOC none").result()));
            continue;
          }
          if (mode.equals("ID")) {
            send(inspection, client, Client.newId(), "WRITE e1 x", Map.of());
            id = id + "i".repeat(1024 * 1024 - 30);
          }
          String result = send(inspection, client, id, "READ e1", Map.copyOf(values)).result();
          count(results, brief(result));
          Thread.sleep(200);
        }
      } catch (IOException e) {
        count(results, "closed: " + e.getMessage());
        sleep(200);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void sleep(long milliseconds) {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
