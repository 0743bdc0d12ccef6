package org.toucanmast.runtime.session;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.toucanmast.core.mirror.StorePosition;
import org.toucanmast.runtime.port.ObjectStore;
import org.toucanmast.runtime.port.StoredObject;
import org.toucanmast.runtime.store.KindMirror;
import org.toucanmast.schema.MirrorObject;
import org.toucanmast.schema.MirrorPush;

/** Encodes what VMs pass on of their mirrors, and decodes it. */
final class MirrorMessages {
  /** Revisions of retained objects may be of various earlier eras, and are not compared. */
  private static final long ERA_OF_RETAINED_OBJECTS = 0;

  private MirrorMessages() {}

  /**
   * Encodes an update for a peer.
   *
   * @param ageInMilliseconds how old this VM's knowledge of the kind is; empty if unknown
   */
  static MirrorPush encode(String kind, KindMirror.Update update, OptionalLong ageInMilliseconds) {
    MirrorPush.Builder content =
        MirrorPush.newBuilder()
            .setKind(kind)
            .setEra(update.completeTo().era())
            .setChangedAt(update.lastChange())
            .setCompleteTo(Math.max(0, update.completeTo().revision()));
    ageInMilliseconds.ifPresent(content::setAgeInMilliseconds);
    update.since().ifPresent(content::setChangesSince);
    for (ObjectStore.Change change : update.changes()) {
      content.addObjects(encode(change.object(), update).setDeleted(change.deleted()));
    }
    update.retained().forEach(object -> content.addRetained(encode(object, update)));
    content.setRetentionLeftInMilliseconds(update.retentionLeftInMilliseconds());
    return content.build();
  }

  private static MirrorObject.Builder encode(StoredObject object, KindMirror.Update update) {
    MirrorObject.Builder item =
        MirrorObject.newBuilder()
            .setName(object.name())
            .setRevision(object.revision())
            .setMaximumAgeInMilliseconds(update.maximumAges().getOrDefault(object.name(), 0L));
    if (object.content() != null) {
      item.setContent(object.content().encode());
    }
    return item;
  }

  /** Decodes an update from a peer. */
  static KindMirror.Update decode(MirrorPush content) {
    List<ObjectStore.Change> changes = new ArrayList<>();
    List<StoredObject> retained = new ArrayList<>();
    Map<String, Long> ages = new HashMap<>();
    for (MirrorObject item : content.getObjectsList()) {
      ages.put(item.getName(), item.getMaximumAgeInMilliseconds());
      changes.add(new ObjectStore.Change(decode(item, content.getEra()), item.getDeleted()));
    }
    for (MirrorObject item : content.getRetainedList()) {
      ages.put(item.getName(), item.getMaximumAgeInMilliseconds());
      retained.add(decode(item, ERA_OF_RETAINED_OBJECTS));
    }
    return new KindMirror.Update(
        content.hasChangesSince() ? Optional.of(content.getChangesSince()) : Optional.empty(),
        changes,
        new StorePosition(content.getEra(), content.getCompleteTo()),
        content.getChangedAt(),
        ages,
        retained,
        content.getRetentionLeftInMilliseconds());
  }

  private static StoredObject decode(MirrorObject item, long era) {
    StorePosition position = new StorePosition(era, item.getRevision());
    return new StoredObject(item.getName(), position, decodeContent(item.getContent()));
  }

  /**
   * Returns the content of an object; null if there is none. A peer of another version may pass on
   * one that this VM cannot read: it is then an object without content, as in the store's answer.
   */
  private static JsonObject decodeContent(String content) {
    if (content.isEmpty()) {
      return null;
    }
    try {
      return new JsonObject(content);
    } catch (DecodeException | ClassCastException | StackOverflowError e) {
      return null;
    }
  }
}
