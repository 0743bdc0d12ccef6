package org.toucanmast.cli;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.toucanmast.core.text.ValueFormat;
import org.toucanmast.core.text.ValueFormatException;
import org.toucanmast.runtime.platform.PlatformClient;
import org.toucanmast.runtime.platform.PlatformEditor;
import org.toucanmast.runtime.platform.PlatformException;
import picocli.CommandLine.Option;

/** Options that select the platform, and the connection to it. */
final class PlatformOptions {
  private static final long CALL_TIMEOUT_IN_MILLISECONDS = 2_000;
  private static final long COMMAND_TIMEOUT_IN_SECONDS = 60;

  @Option(
      names = "--platform",
      required = true,
      paramLabel = "ADDRESS",
      description = "IP address and port of the platform's object service.")
  private String address;

  /** An asynchronous operation on the platform. */
  interface PlatformOperation<T> {
    /** Starts the operation; the future completes with its result. */
    Future<T> start(PlatformEditor editor);
  }

  /**
   * Runs the operation and waits for its result, at most {@value #COMMAND_TIMEOUT_IN_SECONDS}
   * seconds.
   *
   * @throws CommandException when the address is invalid, the operation failed, or no result came
   *     in time
   */
  <T> T run(PlatformOperation<T> operation) throws CommandException {
    checkAddress();
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    try {
      PlatformClient client = new PlatformClient(vertx, address, CALL_TIMEOUT_IN_MILLISECONDS);
      PlatformEditor editor = new PlatformEditor(vertx, client, new Random());
      return operation
          .start(editor)
          .toCompletionStage()
          .toCompletableFuture()
          .get(COMMAND_TIMEOUT_IN_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException e) {
      throw toCommandException(e.getCause());
    } catch (TimeoutException e) {
      throw new CommandException(
          ExitCodes.FAILED, "the platform did not answer in time; a change may have taken effect");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(ExitCodes.FAILED, "interrupted");
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  private void checkAddress() throws CommandException {
    try {
      ValueFormat.ADDRESS.parse(address);
    } catch (ValueFormatException e) {
      throw new CommandException(ExitCodes.INVALID, "--platform: " + e.getMessage());
    }
  }

  private static CommandException toCommandException(Throwable cause) {
    if (cause instanceof CommandException failure) {
      return failure;
    }
    if (cause instanceof PlatformException error
        && error.kind() == PlatformException.Kind.CONFLICT) {
      return new CommandException(ExitCodes.CONFLICT, error.getMessage() + "; nothing was changed");
    }
    return new CommandException(ExitCodes.FAILED, String.valueOf(cause.getMessage()));
  }
}
