package org.toucanmast.runtime.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.toucanmast.core.configuration.EditHistory;
import org.toucanmast.runtime.platform.PlatformException.Kind;

/**
 * Edits objects conditionally and determines whether each edit took effect.
 *
 * <p>The answer to an edit can be lost after the edit took effect. The object is then read back: it
 * contains the ids of its latest edits, so the edit took effect if its id is among them. An edit is
 * sent again only if the object still has the version that the edit was made from.
 */
public final class PlatformEditor {
  private static final String EDIT_IDS = "editIds";
  private static final int MAXIMUM_EDIT_IDS = 32;
  private static final int MAXIMUM_ATTEMPTS = 6;
  private static final long INITIAL_RETRY_DELAY_IN_MILLISECONDS = 100;

  private final Vertx vertx;
  private final PlatformClient client;
  private final Random random;

  /** An edit that was sent and whose outcome is not known yet. */
  private record Edit(
      String kind, String name, long expectedVersion, JsonObject value, String id) {}

  /**
   * Creates an editor.
   *
   * @param random spreads the delays between attempts
   */
  public PlatformEditor(Vertx vertx, PlatformClient client, Random random) {
    this.vertx = vertx;
    this.client = client;
    this.random = random;
  }

  private static JsonArray editIds(String document) {
    return new JsonObject(document).getJsonArray(EDIT_IDS, new JsonArray());
  }

  /**
   * Returns the latest edits of a document.
   *
   * @throws io.vertx.core.json.DecodeException if the document is not a JSON object
   */
  public static EditHistory historyOf(String document) {
    return new EditHistory(editIds(document).stream().map(String::valueOf).toList());
  }

  /** Reads an object; one that does not exist has version 0 and the value {@code {}}. */
  public Future<PlatformObject> read(String kind, String name) {
    return client
        .read(kind, name)
        .recover(
            cause ->
                isKind(cause, Kind.MISSING)
                    ? Future.succeededFuture(new PlatformObject(0, "{}"))
                    : Future.failedFuture(cause));
  }

  /**
   * Edits an object.
   *
   * @param before the object that the edit was made from
   * @param editId the id of this edit, unique among all edits
   * @return the new version; fails with {@link Kind#CONFLICT} when another edit took effect first,
   *     and with {@link Kind#NO_ANSWER} when the platform did not answer and the outcome is not
   *     known
   */
  public Future<Long> edit(
      String kind, String name, PlatformObject before, JsonObject value, String editId) {
    JsonArray ids = editIds(before.value()).copy().add(editId);
    while (ids.size() > MAXIMUM_EDIT_IDS) {
      ids.remove(0);
    }
    JsonObject valueWithEditIds = value.copy().put(EDIT_IDS, ids);
    return send(new Edit(kind, name, before.version(), valueWithEditIds, editId), 1);
  }

  private Future<Long> send(Edit edit, int attempt) {
    return client
        .update(edit.kind(), edit.name(), edit.expectedVersion(), edit.value().encode())
        .recover(
            cause -> {
              // After a retry, the conflict may stem from an earlier attempt that took effect.
              boolean ambiguousConflict = attempt > 1 && isKind(cause, Kind.CONFLICT);
              return ambiguousConflict || isKind(cause, Kind.NO_ANSWER)
                  ? readBack(edit, attempt)
                  : Future.failedFuture(cause);
            });
  }

  private Future<Long> readBack(Edit edit, int attempt) {
    return delay(attempt)
        .compose(nothing -> read(edit.kind(), edit.name()))
        .compose(object -> resolveOutcome(edit, object, attempt))
        .recover(
            cause ->
                isKind(cause, Kind.NO_ANSWER) && attempt < MAXIMUM_ATTEMPTS
                    ? readBack(edit, attempt + 1)
                    : Future.failedFuture(cause));
  }

  private Future<Long> resolveOutcome(Edit edit, PlatformObject object, int attempt) {
    JsonArray ids = editIds(object.value());
    if (ids.contains(edit.id())) {
      return Future.succeededFuture(object.version());
    }
    if (object.version() != edit.expectedVersion()) {
      return fail(Kind.CONFLICT, edit.kind() + "/" + edit.name() + " was changed by another edit");
    }
    return attempt < MAXIMUM_ATTEMPTS
        ? send(edit, attempt + 1)
        : fail(Kind.NO_ANSWER, "no answer from the platform; the outcome of the edit is unknown");
  }

  private static Future<Long> fail(Kind kind, String message) {
    return Future.failedFuture(new PlatformException(kind, message));
  }

  private static boolean isKind(Throwable cause, Kind kind) {
    return cause instanceof PlatformException error && error.kind() == kind;
  }

  private Future<Void> delay(int attempt) {
    long bound = INITIAL_RETRY_DELAY_IN_MILLISECONDS << (attempt - 1);
    long delayInMilliseconds = bound / 2 + random.nextInt((int) bound);
    return vertx.timer(delayInMilliseconds, TimeUnit.MILLISECONDS).mapEmpty();
  }
}
