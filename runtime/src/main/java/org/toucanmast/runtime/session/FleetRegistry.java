package org.toucanmast.runtime.session;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.toucanmast.core.membership.RegistrationDelay;
import org.toucanmast.core.mirror.ContentVersion;
import org.toucanmast.core.mirror.StorePosition;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.fleet.FleetLinks;
import org.toucanmast.runtime.fleet.FleetMember;
import org.toucanmast.runtime.port.InvalidEntryException;
import org.toucanmast.runtime.port.ObjectStore;
import org.toucanmast.runtime.port.StoreException;
import org.toucanmast.runtime.port.StoredObject;
import org.toucanmast.runtime.store.KindMirror;

/**
 * The VMs of the fleet that are registered in the object store.
 *
 * <p>Each VM creates its own object when it starts and deletes it at a planned stop. The object of
 * a VM that is unreachable for long is deleted by one of its peers; a VM whose object was deleted
 * by mistake registers again.
 */
final class FleetRegistry implements KindMirror.Listener {
  /** The kind of the objects that register VMs. */
  static final String KIND = "toucanmast-vms";

  /** Delay before a failed registration is retried. */
  private static final long RETRY_DELAY_IN_MILLISECONDS = 500;

  /** A VM that is unreachable for longer than this is removed from the fleet. */
  private static final long REMOVAL_TIMEOUT_IN_MILLISECONDS = 15_000;

  private final Vertx vertx;
  private final ObjectStore store;
  private final VmClock clock;
  private final EventLog log;
  private final FleetMember self;
  private final FleetLinks links;
  private final FleetMembership membership;
  private final Map<String, FleetMember> members = new TreeMap<>();
  private final Map<String, StorePosition> positions = new HashMap<>();
  private final Map<String, Long> unreachableSince = new HashMap<>();
  private boolean registrationPending;
  private Future<StoredObject> registration = Future.succeededFuture();
  private boolean deregistered;
  private boolean changeScheduled;

  FleetRegistry(
      Vertx vertx,
      ObjectStore store,
      VmClock clock,
      EventLog log,
      FleetMember self,
      FleetLinks links,
      FleetMembership membership) {
    this.vertx = vertx;
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.self = self;
    this.links = links;
    this.membership = membership;
    members.put(self.name(), self);
  }

  /** Returns the version of a VM's entry: the incarnation of the process that wrote it. */
  static Optional<ContentVersion> contentVersion(StoredObject object) {
    try {
      FleetMember member = FleetMember.of(object.name(), object.content());
      return Optional.of(new ContentVersion(member.incarnation(), 0));
    } catch (InvalidEntryException e) {
      return Optional.empty();
    }
  }

  @Override
  public void onObject(StoredObject object, long changedSince) {
    positions.put(object.name(), object.position());
    boolean isOwn = object.name().equals(self.name());
    try {
      FleetMember member = FleetMember.of(object.name(), object.content());
      if (!isOwn) {
        members.put(object.name(), member);
        links.add(member);
        scheduleMembersChanged();
      } else if (!member.equals(self)) {
        register();
      }
    } catch (InvalidEntryException e) {
      onInvalidEntry(object, e);
    }
  }

  /**
   * Keeps what is known of a VM whose entry cannot be used: if it runs, it writes the entry again.
   */
  private void onInvalidEntry(StoredObject object, InvalidEntryException failure) {
    log.log(
        EventKind.STORE_ENTRY,
        "member entry not usable",
        "objects",
        KIND,
        "object",
        object.name(),
        "revision",
        object.revision(),
        "reason",
        object.problemOr(failure));
    if (object.name().equals(self.name())) {
      register();
    }
  }

  @Override
  public void onObjectRemoved(String name) {
    positions.remove(name);
    if (name.equals(self.name())) {
      register();
      return;
    }
    members.remove(name);
    unreachableSince.remove(name);
    links.remove(name);
    log.log(EventKind.MEMBERSHIP, "member removed", "peer", name, "members", members.size());
    scheduleMembersChanged();
  }

  /** Registers again if the restored store has lost this VM's object or shows an earlier run. */
  @Override
  public void onObjectOutdatedInStore(String name) {
    if (name.equals(self.name())) {
      log.log(EventKind.MEMBERSHIP, "own entry lost by the store; registering again");
      vertx.setTimer(RegistrationDelay.inMilliseconds(name, members.size()), fired -> register());
    }
  }

  /** Applies all changes of one turn of the event loop together; a fleet starts all at once. */
  private void scheduleMembersChanged() {
    if (!changeScheduled) {
      changeScheduled = true;
      vertx.runOnContext(
          ignored -> {
            changeScheduled = false;
            log.log(EventKind.MEMBERSHIP, "members changed", "members", members.size());
            membership.setMembers(members);
          });
    }
  }

  @Override
  public void onAllObjects() {
    if (!positions.containsKey(self.name())) {
      register();
    }
  }

  /** Returns whether the store has this VM's entry, as far as this VM knows. */
  boolean isRegistered() {
    return !registrationPending && positions.containsKey(self.name());
  }

  private void register() {
    if (registrationPending || deregistered) {
      return;
    }
    registrationPending = true;
    registration =
        store
            .create(KIND, self.name(), self.toJson())
            .recover(this::replaceExisting)
            .onComplete(
                result -> {
                  registrationPending = false;
                  if (result.succeeded()) {
                    positions.put(self.name(), result.result().position());
                  } else {
                    log.log(
                        EventKind.MEMBERSHIP,
                        "registration failed",
                        "reason",
                        result.cause().getMessage());
                    vertx.setTimer(RETRY_DELAY_IN_MILLISECONDS, fired -> register());
                  }
                });
  }

  private Future<StoredObject> replaceExisting(Throwable error) {
    boolean exists =
        error instanceof StoreException failure
            && failure.reason() == StoreException.Reason.CONFLICT;
    if (!exists) {
      return Future.failedFuture(error);
    }
    return store
        .get(KIND, self.name())
        .compose(existing -> store.replace(KIND, self.name(), self.toJson(), existing.position()));
  }

  /**
   * Deletes this VM's own object at a planned stop, after a registration that is in flight; the
   * result completes when it is deleted.
   */
  Future<Void> deregister() {
    deregistered = true;
    return registration.transform(registered -> deleteOwnEntry());
  }

  private Future<Void> deleteOwnEntry() {
    StorePosition position = positions.get(self.name());
    if (position == null) {
      return Future.succeededFuture();
    }
    return store
        .delete(KIND, self.name(), position)
        .onFailure(
            error ->
                log.log(
                    EventKind.MEMBERSHIP, "deregistration failed", "reason", error.getMessage()));
  }

  /**
   * Deletes the objects of VMs that have been unreachable for long; must be called periodically.
   *
   * <p>Deletes nothing while half of the VMs or more are unreachable, since this VM may then be the
   * one that is isolated.
   *
   * @param responsible whether this VM removes members on behalf of the fleet
   */
  void removeUnreachable(boolean responsible) {
    long now = clock.now();
    List<String> unreachable = membership.unreachableMembers();
    unreachableSince.keySet().retainAll(unreachable);
    unreachable.forEach(name -> unreachableSince.putIfAbsent(name, now));
    boolean isolated = unreachableSince.size() * 2 >= members.size();
    if (!responsible || isolated) {
      return;
    }
    unreachableSince.forEach(
        (name, since) -> {
          StorePosition position = positions.get(name);
          if (now - since > REMOVAL_TIMEOUT_IN_MILLISECONDS && position != null) {
            log.log(EventKind.MEMBERSHIP, "deleting unreachable member", "peer", name);
            store
                .delete(KIND, name, position)
                .onFailure(
                    error ->
                        log.log(
                            EventKind.MEMBERSHIP,
                            "deletion of unreachable member failed",
                            "peer",
                            name,
                            "reason",
                            error.getMessage()));
          }
        });
  }
}
