package org.toucanmast.runtime.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that odd answers of the platform cost no more than what they concern. */
@Timeout(30)
class PlatformClientTest {
  private static final String GOOD =
      "{\"name\":\"vm-%s\",\"dataCentre\":\"a\",\"peerAddress\":\"127.0.0.1:1\",\"leaving\":%s}";

  private final Vertx vertx = Vertx.vertx();
  private volatile String answer = "";
  private volatile String uri = "";
  private PlatformClient client;

  @BeforeEach
  void start() throws Exception {
    int port =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  uri = request.uri();
                  request.response().end(answer);
                })
            .listen(0, "127.0.0.1")
            .await(10, TimeUnit.SECONDS)
            .actualPort();
    client = new PlatformClient(vertx, "127.0.0.1:" + port, 5_000);
  }

  @AfterEach
  void close() {
    vertx.close();
  }

  private static <T> T await(Future<T> future) throws Exception {
    try {
      return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    } catch (ExecutionException e) {
      throw (Exception) e.getCause();
    }
  }

  /** Joined as they are, the kind and the name would be a path and a query of another object. */
  @Test
  void should_ask_for_the_object_of_a_name_that_a_path_cannot_carry() throws Exception {
    answer = "{\"version\":1,\"value\":{}}";

    await(client.read("a/b c", "größe?after=1#%2F"));

    assertThat(uri).isEqualTo("/objects/a%2Fb%20c/gr%C3%B6%C3%9Fe%3Fafter=1%23%252F");
  }

  /** Before, one odd VM in the list kept all others from being learned of. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "null",
        "5",
        "[]",
        "{}",
        "{\"name\":null,\"dataCentre\":\"a\",\"peerAddress\":\"127.0.0.1:1\"}",
        "{\"name\":7,\"dataCentre\":\"a\",\"peerAddress\":\"127.0.0.1:1\"}",
        "{\"name\":\"odd\",\"peerAddress\":\"127.0.0.1:1\"}",
        "{\"name\":\"odd\",\"dataCentre\":{},\"peerAddress\":\"127.0.0.1:1\"}",
        "{\"name\":\"odd\",\"dataCentre\":\"a\",\"peerAddress\":1}",
        "{\"name\":\"odd\",\"dataCentre\":\"a\",\"peerAddress\":\"127.0.0.1:1\",\"leaving\":\"x\"}"
      })
  void should_list_the_other_vms_beside_an_odd_one(String odd) throws Exception {
    answer =
        "{\"vms\":["
            + String.join(",", odd, GOOD.formatted(1, false), odd, GOOD.formatted(2, true))
            + "]}";
    PlatformVms vms = await(client.listVms());

    assertThat(vms.live().keySet()).containsExactlyInAnyOrder("vm-1", "vm-2");
    assertThat(vms.leaving()).containsExactly("vm-2");
  }

  /** The object is the only one of its kind that is read; the last one read stays in force. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "[]",
        "{\"version\":\"x\",\"value\":{}}",
        "{\"version\":5,\"value\":[]}",
        "{\"version\":-5,\"value\":{}}",
        "{\"value\":{}}",
        "nested",
        "number"
      })
  void should_fail_a_read_of_an_odd_object(String odd) {
    answer =
        switch (odd) {
          case "nested" ->
              "{\"version\":5,\"value\":" + "[".repeat(100_000) + "]".repeat(100_000) + "}";
          case "number" -> "{\"version\":5,\"value\":{\"a\":" + "1".repeat(1_500) + "}}";
          default -> odd;
        };

    assertThatThrownBy(() -> await(client.read("configuration", "main")))
        .isInstanceOf(PlatformException.class);
  }
}
