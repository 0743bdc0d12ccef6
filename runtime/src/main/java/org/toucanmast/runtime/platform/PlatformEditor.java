package org.toucanmast.runtime.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.toucanmast.runtime.platform.PlatformException.Kind;

/**
 * Makes one conditional change of an object and finds out whether it took effect.
 *
 * <p>An answer can be lost after the change was made. Then the object is read back: it names its
 * newest edits, so the change took effect when its edit id is among them. The change is never sent
 * blindly a second time.
 */
public final class PlatformEditor {
  private static final String EDIT_IDS = "editIds";
  private static final int KEPT_EDIT_IDS = 32;
  private static final int ATTEMPTS = 6;
  private static final long FIRST_PAUSE_IN_MILLISECONDS = 100;

  private final Vertx vertx;
  private final PlatformClient client;
  private final Random random;

  /** One change on its way. */
  private record Edit(String kind, String name, long expected, JsonObject value, String id) {}

  /**
   * Creates an editor.
   *
   * @param random spreads the pauses between attempts
   */
  public PlatformEditor(Vertx vertx, PlatformClient client, Random random) {
    this.vertx = vertx;
    this.client = client;
    this.random = random;
  }

  /** Reads an object; one that does not exist has version 0 and an empty value. */
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
   * Changes an object.
   *
   * @param before the object that the change was made from
   * @param editId marks this change; unique among all edits
   * @return the new version; fails with {@link Kind#CONFLICT} when another edit came first and with
   *     {@link Kind#NO_ANSWER} when the platform stayed silent and the outcome is not known
   */
  public Future<Long> edit(
      String kind, String name, PlatformObject before, JsonObject value, String editId) {
    JsonArray earlier = new JsonObject(before.value()).getJsonArray(EDIT_IDS, new JsonArray());
    JsonArray ids = earlier.copy().add(editId);
    while (ids.size() > KEPT_EDIT_IDS) {
      ids.remove(0);
    }
    JsonObject marked = value.copy().put(EDIT_IDS, ids);
    return send(new Edit(kind, name, before.version(), marked, editId), 1);
  }

  private Future<Long> send(Edit edit, int attempt) {
    return client
        .update(edit.kind(), edit.name(), edit.expected(), edit.value().encode())
        .recover(
            cause -> {
              boolean unclear = attempt > 1 && isKind(cause, Kind.CONFLICT);
              return unclear || isKind(cause, Kind.NO_ANSWER)
                  ? readBack(edit, attempt)
                  : Future.failedFuture(cause);
            });
  }

  private Future<Long> readBack(Edit edit, int attempt) {
    return pause(attempt)
        .compose(nothing -> read(edit.kind(), edit.name()))
        .compose(found -> judge(edit, found, attempt))
        .recover(
            cause ->
                isKind(cause, Kind.NO_ANSWER) && attempt < ATTEMPTS
                    ? readBack(edit, attempt + 1)
                    : Future.failedFuture(cause));
  }

  private Future<Long> judge(Edit edit, PlatformObject found, int attempt) {
    JsonArray ids = new JsonObject(found.value()).getJsonArray(EDIT_IDS, new JsonArray());
    if (ids.contains(edit.id())) {
      return Future.succeededFuture(found.version());
    }
    if (found.version() != edit.expected()) {
      return fail(Kind.CONFLICT, edit.kind() + "/" + edit.name() + " was changed by somebody else");
    }
    return attempt < ATTEMPTS
        ? send(edit, attempt + 1)
        : fail(Kind.NO_ANSWER, "the platform gives no answer");
  }

  private static Future<Long> fail(Kind kind, String message) {
    return Future.failedFuture(new PlatformException(kind, message));
  }

  private static boolean isKind(Throwable cause, Kind kind) {
    return cause instanceof PlatformException error && error.kind() == kind;
  }

  private Future<Void> pause(int attempt) {
    long bound = FIRST_PAUSE_IN_MILLISECONDS << (attempt - 1);
    long milliseconds = bound / 2 + random.nextInt((int) bound);
    return vertx.timer(milliseconds, TimeUnit.MILLISECONDS).mapEmpty();
  }
}
