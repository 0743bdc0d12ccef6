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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.toucanmast.integration.Caller.Answer;
import org.toucanmast.standin.fleet.Fleet;

@ExtendWith(SharedFleet.class)
class AccessTest {

  @Test
  void should_refuse_access_to_a_database_of_other_customers() {
    Answer answer =
        Caller.of(SharedFleet.callerAddress(1), "bench-1").read("timetables", "get a", "");

    assertThat(answer.status()).isEqualTo(403);
    assertThat(answer.outcome()).isEqualTo("not-run");
  }

  @Test
  void should_serve_an_anonymous_route_without_a_key_only_within_its_prefix() {
    Caller.of(SharedFleet.callerAddress(1), "union-accra")
        .write("timetables", "put public-accra 0630", "");
    Caller.of(SharedFleet.callerAddress(1), "union-accra").write("timetables", "put secret 1", "");
    Caller anonymous = new Caller(SharedFleet.callerAddress(2), "");

    assertThat(anonymous.get("/v1/routes/timetable/accra").outcome()).isEqualTo("ran");
    assertThat(anonymous.get("/v1/routes/timetable/secret").row()).isEmpty();
    assertThat(anonymous.get("/v1/routes/nothing/accra").status()).isEqualTo(404);
  }

  /** The encoded form of a key was read as another key. */
  @Test
  void should_read_the_key_that_an_anonymous_caller_has_encoded() {
    Caller.of(SharedFleet.callerAddress(1), "union-accra")
        .write("timetables", "put public-größe/a%20b 0715", "");
    Caller anonymous = new Caller(SharedFleet.callerAddress(2), "");

    assertThat(anonymous.get("/v1/routes/timetable/gr%C3%B6%C3%9Fe%2Fa%2520b").row())
        .isEqualTo("0715");
    assertThat(anonymous.get("/v1/routes/time%74able/gr%c3%b6%c3%9fe%2fa%2520b").row())
        .isEqualTo("0715");
  }

  /** A blank would end the key in the statement that the proxy sends. */
  @ParameterizedTest
  @ValueSource(strings = {"a%20b", "%20", "a%0Ab", "a%0D%0Ab", "a%00", "a%09b", "%ff", "%C0%AF"})
  void should_refuse_a_key_of_an_anonymous_caller_that_is_not_one_word(String key) {
    Answer answer = new Caller(SharedFleet.callerAddress(2), "").get("/v1/routes/timetable/" + key);

    assertThat(answer.status()).isEqualTo(400);
    assertThat(answer.outcome()).isEqualTo("not-run");
  }

  @Test
  void should_refuse_requests_outside_opening_hours() throws IOException {
    Fleet fleet = SharedFleet.fleet();
    String[] closeCommand = {"customer", "set", "bench-4", "--opening-hours", "00:00-00:01"};
    String[] openCommand = {"customer", "set", "bench-4", "--opening-hours", "always"};
    Caller caller = Caller.of(SharedFleet.callerAddress(3), "bench-4");

    fleet.runOperatorCommand(closeCommand);
    boolean isMidnightInBogota = LocalTime.now(ZoneId.of("America/Bogota")).toSecondOfDay() < 90;
    if (!isMidnightInBogota) {
      Fleet.waitFor(
          () -> caller.read("stock", "get a", "").status() == 403,
          "requests outside the opening hours to be refused");
    }
    fleet.runOperatorCommand(openCommand);

    Fleet.waitFor(
        () -> caller.read("stock", "get a", "").outcome().equals("ran"),
        "requests within the opening hours to be served");
  }

  @Test
  void should_not_reveal_customer_keys_to_endpoints_and_logs() throws IOException {
    Caller.of(SharedFleet.callerAddress(1), "bench-1").write("stock", "put key-check 1", "");
    Caller.of(SharedFleet.callerAddress(1), "bench-1").write("timetables", "put key-check 1", "");
    Fleet fleet = SharedFleet.fleet();

    for (Object endpoint : fleet.control().endpoints(SharedFleet.databaseControl("stock"))) {
      assertThat(((JsonObject) endpoint).getLong("leakedKeys")).isZero();
    }
    try (Stream<Path> files = Files.list(fleet.directory())) {
      for (Path log : files.filter(file -> file.toString().endsWith(".log")).toList()) {
        assertThat(Files.readString(log)).doesNotContain(Fleet.keyOf("bench-1"));
      }
    }
  }
}
