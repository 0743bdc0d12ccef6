package org.toucanmast.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.net.HostAndPort;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.toucanmast.integration.Caller.Answer;
import org.toucanmast.standin.fleet.Fleet;

@ExtendWith(SharedFleet.class)
class BadInputTest {
  private static final String PATH = "/v1/databases/stock/requests";

  private static void assertStillServing() {
    Answer answer =
        Caller.of(SharedFleet.callerAddress(1), "bench-1").write("stock", "put bad-input x", "");
    assertThat(answer.outcome()).isEqualTo("ran");
  }

  private static String exchange(String request, boolean halfClose) throws IOException {
    HostAndPort address = HostAndPort.fromString(SharedFleet.callerAddress(1));
    try (Socket socket = new Socket(address.getHost(), address.getPort())) {
      socket.setSoTimeout(20_000);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      socket.getOutputStream().flush();
      if (halfClose) {
        socket.shutdownOutput();
      }
      InputStream in = socket.getInputStream();
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  @Test
  void should_refuse_a_malformed_request_line() throws IOException {
    assertThat(exchange("NONSENSE\r\n\r\n", false)).startsWith("HTTP/1.0 400 Bad Request");
    assertStillServing();
  }

  @Test
  void should_refuse_a_body_that_is_not_json() {
    Caller caller = Caller.of(SharedFleet.callerAddress(1), "bench-1");

    Answer answer = caller.post(PATH, new JsonObject().put("statements", "put a b"), "", "");

    assertThat(answer.status()).isEqualTo(400);
    assertThat(answer.outcome()).isEqualTo("not-run");
  }

  @Test
  void should_refuse_a_content_length_above_the_limit() throws IOException {
    String answer =
        exchange(
            "POST " + PATH + " HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", false);

    assertThat(answer).startsWith("HTTP/1.1 413").contains("not-run");
    assertStillServing();
  }

  @Test
  void should_refuse_a_chunked_body_above_the_limit() throws IOException {
    String chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n";

    String answer =
        exchange(
            "POST "
                + PATH
                + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunk.repeat(3),
            false);

    assertThat(answer).startsWith("HTTP/1.1 413");
    assertStillServing();
  }

  @Test
  void should_time_out_when_the_body_is_incomplete() throws IOException {
    String answer =
        exchange(
            "POST " + PATH + " HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{\"stat", false);

    assertThat(answer).startsWith("HTTP/1.1 408").contains("not-run");
    assertStillServing();
  }

  @Test
  void should_close_a_connection_when_the_header_is_incomplete() throws IOException {
    assertThat(exchange("POST " + PATH + " HTTP/1.1\r\nHost:", false)).isEmpty();
    assertStillServing();
  }

  @Test
  void should_keep_serving_after_an_incomplete_request_on_a_half_closed_connection()
      throws IOException {
    exchange(
        "POST " + PATH + " HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{\"statements\":",
        true);

    assertStillServing();
  }

  @Test
  void should_give_the_same_message_for_a_wrong_and_a_missing_key() {
    Answer wrong = new Caller(SharedFleet.callerAddress(1), "wrong").write("stock", "put a b", "");
    Answer missing =
        new Caller(SharedFleet.callerAddress(1), "").write("no-such-database", "put a b", "");

    assertThat(wrong.status()).isEqualTo(401);
    assertThat(missing.status()).isEqualTo(401);
    assertThat(wrong.outcome()).isEqualTo("not-run");
    assertThat(wrong.body().getString("message")).isEqualTo(missing.body().getString("message"));
  }

  @Test
  void should_refuse_an_invalid_session_token() {
    Caller caller = Caller.of(SharedFleet.callerAddress(1), "bench-1");
    JsonObject body = new JsonObject().put("statements", new JsonArray().add("get a"));

    Answer answer = caller.post(PATH, body, "", "!!!");

    assertThat(answer.status()).isEqualTo(400);
    assertThat(answer.body().getString("message")).contains("session token");
  }

  /** Passed on to the VM of a transaction, the statement became another one. */
  @Test
  void should_refuse_a_statement_that_utf_8_cannot_carry() throws IOException {
    String transaction =
        Caller.of(SharedFleet.callerAddress(2), "bench-1")
            .begin("stock")
            .body()
            .getString("transaction");

    assertThat(stepWithJson(transaction, "\"put odd \\ud800\"")).startsWith("HTTP/1.1 400");
    assertThat(stepWithJson(transaction, "\"put pair \\ud83d\\ude00\""))
        .startsWith("HTTP/1.1 200")
        .contains("\"rows\":[\"\\uD83D\\uDE00\"]");
  }

  private static String stepWithJson(String transaction, String statement) throws IOException {
    String body = "{\"statements\":[" + statement + "]}";
    return exchange(
        "POST /v1/transactions/"
            + transaction
            + "/statements HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer "
            + Fleet.keyOf("bench-1")
            + "\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body,
        false);
  }

  /** The JSON text of the value was sent as a statement. */
  @Test
  void should_refuse_a_statement_that_is_not_a_string() {
    Caller caller = Caller.of(SharedFleet.callerAddress(1), "bench-1");
    JsonArray statements = new JsonArray().add(new JsonArray().add("put a b"));

    Answer answer = caller.post(PATH, new JsonObject().put("statements", statements), "", "");

    assertThat(answer.status()).isEqualTo(400);
  }

  @Test
  void should_report_that_the_database_refused_a_statement() {
    Answer answer =
        Caller.of(SharedFleet.callerAddress(1), "bench-1").write("stock", "drop everything", "");

    assertThat(answer.status()).isEqualTo(422);
    assertThat(answer.outcome()).isEqualTo("not-run");
  }
}
