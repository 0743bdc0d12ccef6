package org.toucanmast.integration;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.toucanmast.integration.Caller.Answer;
import org.toucanmast.standin.fleet.Fleet;

@ExtendWith(SharedFleet.class)
class AccessTest {

  @Test
  void should_refuse_a_database_of_other_customers() {
    Answer answer = Caller.of(SharedFleet.vm(1), "bench-1").read("timetables", "get a", "");

    assertThat(answer.status()).isEqualTo(403);
    assertThat(answer.outcome()).isEqualTo("not-run");
  }

  @Test
  void should_serve_an_open_route_without_a_key_but_only_its_prefix() {
    Caller.of(SharedFleet.vm(1), "union-accra").write("timetables", "put public-accra 0630", "");
    Caller.of(SharedFleet.vm(1), "union-accra").write("timetables", "put secret 1", "");
    Caller anybody = new Caller(SharedFleet.vm(2), "");

    assertThat(anybody.get("/v1/routes/timetable/accra").outcome()).isEqualTo("ran");
    assertThat(anybody.get("/v1/routes/timetable/secret").row()).isEmpty();
    assertThat(anybody.get("/v1/routes/nothing/accra").status()).isEqualTo(404);
  }

  @Test
  void should_refuse_outside_opening_hours() throws IOException {
    Fleet fleet = SharedFleet.fleet();
    String[] closed = {"customer", "set", "bench-4", "--opening-hours", "00:00-00:01"};
    String[] open = {"customer", "set", "bench-4", "--opening-hours", "always"};
    Caller caller = Caller.of(SharedFleet.vm(3), "bench-4");

    fleet.runOperatorCommand(closed);
    boolean isMidnightInBogota = LocalTime.now(ZoneId.of("America/Bogota")).toSecondOfDay() < 90;
    if (!isMidnightInBogota) {
      Fleet.waitFor(() -> caller.read("stock", "get a", "").status() == 403, "the hours to close");
    }
    fleet.runOperatorCommand(open);

    Fleet.waitFor(
        () -> caller.read("stock", "get a", "").outcome().equals("ran"), "the hours to open");
  }

  @Test
  void should_show_no_key_to_endpoints_and_logs() throws IOException {
    Caller.of(SharedFleet.vm(1), "bench-1").write("stock", "put key-check 1", "");
    Caller.of(SharedFleet.vm(1), "bench-1").write("timetables", "put key-check 1", "");
    Fleet fleet = SharedFleet.fleet();

    for (Object endpoint : fleet.control().endpoints(SharedFleet.control("stock"))) {
      assertThat(((JsonObject) endpoint).getLong("leakedKeys")).isZero();
    }
    try (Stream<Path> files = Files.list(fleet.directory())) {
      for (Path log : files.filter(file -> file.toString().endsWith(".log")).toList()) {
        assertThat(Files.readString(log)).doesNotContain(Fleet.keyOf("bench-1"));
      }
    }
  }
}
